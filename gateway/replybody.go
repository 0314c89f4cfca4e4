package gateway

import (
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/httpreply"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
)

// maxHealthBody limits the body of a health reply, which is not used.
const maxHealthBody = 64 << 10 // bytes

// readReplyBody reads the body of a reply whose header was read.
func readReplyBody(memory *membudget.Reservation, c *conn, resp *fasthttp.Response) error {
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
	body, err := memory.ReadAll(src, size)
	switch {
	case err != nil:
		return err
	case size >= 0 && int64(len(body)) < size:
		return io.ErrUnexpectedEOF
	}
	resp.SetBodyRaw(body)
	if chunked {
		return httpreply.ReadTrailer(c.r, &resp.Header)
	}
	return nil
}
