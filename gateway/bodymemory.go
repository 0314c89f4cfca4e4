package gateway

import (
	"errors"
	"io"
	"net/http/httputil"
	"sync"

	"github.com/valyala/fasthttp"
)

// Errors of a body that takes too much memory. Bytes may come without end from
// an upstream that is in trouble.
var (
	errBodyTooLarge = errors.New("body exceeds the memory that one may take")
	errBodyMemory   = errors.New("bodies in flight take all memory set aside for them")
)

const (
	// replyMemoryShare is the share of the instance's memory for the bodies of
	// all replies in flight, replyShare the share of that for one reply.
	replyMemoryShare = 0.125
	replyShare       = 0.25
	// defaultReplyMemory and defaultRequestMemory are used if the instance's memory is
	// not known.
	defaultReplyMemory   = 64 << 20  // bytes
	defaultRequestMemory = 256 << 20 // bytes
	// maxHealthBody limits the body of a health reply, which is not used.
	maxHealthBody = 64 << 10 // bytes
	// requestMemoryShare is the share of the instance's memory for the bodies of all
	// requests in flight, requestShare the share of that for one request.
	requestMemoryShare = 0.3
	requestShare       = 0.8
	// smallReserve is the share of the memory that only bodies of up to smallBody
	// bytes may take, so that a few large ones do not fail the others.
	smallReserve = 0.25
	smallBody    = 64 << 10 // bytes
	// requestReserve is smallReserve of requests' bodies: a large one may take the rest.
	requestReserve = 0.1
	// minReplyBuffer is the first size of the buffer for a body.
	minReplyBuffer = 4 << 10 // bytes
	// maxFirstReplyBuffer limits it also if the upstream announces more: it may
	// never send that much.
	maxFirstReplyBuffer = smallBody
)

// bodyMemory is the memory for the bodies in flight of all replies, or of all requests. It
// is safe for concurrent use.
type bodyMemory struct {
	largest int64 // bytes that one body may take
	// reserve is left to small bodies.
	reserve int64
	mu      sync.Mutex
	free    int64
}

// newReplyMemory returns the memory for replies of an instance with so many bytes of memory;
// 0 stands for an unknown size.
func newReplyMemory(memory int64) *bodyMemory {
	return newBodyMemory(memory, defaultReplyMemory, replyMemoryShare, replyShare, smallReserve)
}

// newRequestMemory is newReplyMemory for requests.
func newRequestMemory(memory int64) *bodyMemory {
	return newBodyMemory(memory, defaultRequestMemory, requestMemoryShare, requestShare, requestReserve)
}

func newBodyMemory(memory, unknown int64, share, largest, reserve float64) *bodyMemory {
	total := unknown
	if memory > 0 {
		total = int64(share * float64(memory))
	}
	return &bodyMemory{largest: int64(largest * float64(total)), reserve: int64(reserve * float64(total)), free: total}
}

// begin returns an empty reservation for a body of at most limit bytes; 0 stands
// for the limit of one body.
func (m *bodyMemory) begin(limit int64) *reservation {
	if limit == 0 || limit > m.largest {
		limit = m.largest
	}
	return &reservation{memory: m, limit: limit}
}

// reservation is the memory that one body takes.
type reservation struct {
	memory *bodyMemory
	limit  int64
	// taken is guarded by memory.mu.
	taken int64
}

// growTo raises the reservation to n bytes.
func (r *reservation) growTo(n int64) error {
	if n > r.limit {
		return errBodyTooLarge
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	free := r.memory.free - (n - r.taken)
	if free < 0 || n > smallBody+1 && free < r.memory.reserve {
		return errBodyMemory
	}
	r.memory.free = free
	r.taken = n
	return nil
}

// Close returns the memory. It implements io.Closer, so that the end of a
// caller's request can release it.
func (r *reservation) Close() error {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.free += r.taken
	r.taken = 0
	return nil
}

// readAll reads src to its end. The buffer grows with what arrives; size is the
// announced length, or negative.
func (r *reservation) readAll(src io.Reader, size int64) ([]byte, error) {
	if size > r.limit {
		return nil, errBodyTooLarge
	}
	first := int64(minReplyBuffer)
	if size >= 0 {
		first = min(size, maxFirstReplyBuffer) + 1 // one more, to see the end
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			next := max(first, min(2*int64(cap(body)), r.limit+1))
			if err := r.growTo(min(next, r.limit)); err != nil || next == int64(cap(body)) {
				return nil, errors.Join(err, errBodyTooLarge)
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readBody reads the body of a reply whose header was read.
func (r *reservation) readBody(c *conn, resp *fasthttp.Response) error {
	var src io.Reader = c.r
	size := int64(resp.Header.ContentLength())
	chunked := size == -1
	switch {
	case chunked:
		src = httputil.NewChunkedReader(c.r)
	case size >= 0:
		src = io.LimitReader(c.r, size)
	default:
		resp.SetConnectionClose() // the body ends when the connection is closed
	}
	body, err := r.readAll(src, size)
	switch {
	case err != nil:
		return err
	case size >= 0 && int64(len(body)) < size:
		return io.ErrUnexpectedEOF
	}
	resp.SetBodyRaw(body)
	if chunked {
		return resp.Header.ReadTrailer(c.r)
	}
	return nil
}
