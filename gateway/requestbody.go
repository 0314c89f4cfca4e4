package gateway

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/membudget"
)

const (
	// maxBody limits the body of a request if the operators set no limit.
	maxBody = 64 << 20 // bytes
	// prefetchedBody is the part of a body that is read before the request is handled, so
	// that small requests cost no further read.
	prefetchedBody = 16 << 10 // bytes
	// Sizes of the segments in which a body is held: a larger one for each that is full,
	// so that little memory is taken before the bytes have arrived.
	minSegment = 16 << 10 // bytes
	maxSegment = 1 << 20  // bytes
	// bodyMemoryWait bounds the wait of a request for the memory of its body. A caller
	// gives up on an instance that reads nothing for longer.
	bodyMemoryWait     = 500 * time.Millisecond
	bodyMemoryInterval = 10 * time.Millisecond
)

// requestBody is the body of a caller's request. It is not changed once it is read. The call
// and each of its attempts hold it.
type requestBody struct {
	segments [][]byte
	size     int
	limit    int // of the operators
	memory   membudget.Reservation
	holders  atomic.Int32
	first    [1][]byte // of segments: most bodies have one
}

// hold adds a holder, for which release must be called.
func (b *requestBody) hold() { b.holders.Add(1) }

// release returns the memory once no holder is left.
func (b *requestBody) release() {
	if b.holders.Add(-1) == 0 {
		b.memory.Close()
	}
}

// bodyRefusal is why a request is refused before its body was read. It has not run.
type bodyRefusal struct {
	status int
	reason string
}

// Refusals of a request by its body.
var (
	refusedTooLarge  = &bodyRefusal{fasthttp.StatusRequestEntityTooLarge, "body-too-large"}
	refusedNoMemory  = &bodyRefusal{fasthttp.StatusServiceUnavailable, "no-memory"}
	refusedTruncated = &bodyRefusal{fasthttp.StatusBadRequest, "body-truncated"}
	refusedTimeout   = &bodyRefusal{fasthttp.StatusRequestTimeout, "request-timeout"}
)

// readBody reads the body of the request, of at most limit bytes; 0 stands for maxBody. The
// caller of readBody is its first holder.
func (g *Gateway) readBody(ctx *fasthttp.RequestCtx, limit int) (*requestBody, *bodyRefusal) {
	if limit <= 0 {
		limit = maxBody
	}
	b := &requestBody{limit: limit, memory: g.memory.Begin(membudget.Requests, int64(limit))}
	b.segments = b.first[:0]
	b.hold()
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return b, nil
	}
	refusal := b.read(stream, ctx.Request.Header.ContentLength())
	if refusal != nil {
		b.release()
		return nil, refusal
	}
	return b, nil
}

// read reads src to its end. Memory for an announced length, which is negative if there is
// none, is reserved at once: bodies that wait for each other's memory would all fail.
func (b *requestBody) read(src io.Reader, length int) *bodyRefusal {
	if length > 0 {
		if refusal := b.reserve(int64(length), bodyMemoryWait); refusal != nil {
			return refusal
		}
	}
	limit := int(b.memory.Limit())
	for segment := minSegment; ; segment = min(2*segment, maxSegment) {
		want := min(segment, length-b.size)
		if length < 0 {
			want = min(segment, limit+1-b.size) // one more, to see that it is too large
			if refusal := b.reserve(int64(min(b.size+want, limit)), 0); refusal != nil {
				return refusal
			}
		}
		if want == 0 {
			return nil
		}
		p := make([]byte, want)
		n, err := io.ReadFull(src, p)
		if n > 0 {
			b.segments, b.size = append(b.segments, p[:n]), b.size+n
		}
		switch {
		case b.size > limit:
			return b.tooLarge(b.size)
		case err == nil:
		case length < 0 && isWholeBody(src, err):
			return nil
		case isTimeout(err):
			return refusedTimeout
		default:
			return refusedTruncated
		}
	}
}

// isWholeBody reports whether a read of a chunked body that came up short reached its end.
// A further read tells: a failed stream fails again, a whole one returns io.EOF.
func isWholeBody(src io.Reader, err error) bool {
	if err != io.EOF && err != io.ErrUnexpectedEOF {
		return false
	}
	var p [1]byte
	_, err = src.Read(p[:])
	return err == io.EOF
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// reserve raises the memory of the body to n bytes, and waits for it as long as wait.
func (b *requestBody) reserve(n int64, wait time.Duration) *bodyRefusal {
	for end := time.Now().Add(wait); ; time.Sleep(bodyMemoryInterval) {
		switch err := b.memory.GrowTo(n); {
		case err == nil:
			return nil
		case errors.Is(err, membudget.ErrTooLarge):
			return b.tooLarge(int(n))
		case !time.Now().Before(end):
			return refusedNoMemory
		}
	}
}

// tooLarge returns the refusal of a body of n bytes, which the memory for one does not hold.
// One within the operators' limit may fit another instance.
func (b *requestBody) tooLarge(n int) *bodyRefusal {
	if n > b.limit {
		return refusedTooLarge
	}
	return refusedNoMemory
}

// Bounds of the time and bytes for which a connection is read on after a refusal.
const (
	lingerTime  = time.Second
	lingerBytes = 8 << 20
)

// refuseBody refuses a request whose body has not been read to its end, and closes the
// connection. It reads on for a while: a close with unread bytes would discard the response.
func (g *Gateway) refuseBody(ctx *fasthttp.RequestCtx, id string, r *bodyRefusal) {
	g.refuse(ctx, id, r.status, r.reason)
	ctx.SetConnectionClose()
	ctx.Response.Header.SetContentLength(len(ctx.Response.Body()))
	response := append([]byte(nil), ctx.Response.Header.Header()...)
	response = append(response, ctx.Response.Body()...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if c.SetDeadline(time.Now().Add(lingerTime)) != nil {
			return
		}
		if _, err := c.Write(response); err != nil {
			return
		}
		// The end of the stream, the deadline or the bound ends it; the outcome is the same.
		_, _ = io.CopyN(io.Discard, c, lingerBytes)
	})
}
