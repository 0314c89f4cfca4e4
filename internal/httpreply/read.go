package httpreply

import (
	"bufio"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// ErrTooLarge ends the reading of a head or trailer that exceeds the reader's buffer.
var ErrTooLarge = errors.New("head or trailer of the reply is larger than the buffer: make the upstream send fewer headers")

// ReadHead reads the head of one final or interim reply into h. It must fit the buffer of r.
// It returns a *MalformedError as soon as the bytes can't be a reply's, and io.EOF if they
// end before the head does.
func ReadHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	if err := await(r, &headCheck{}); err != nil {
		return err
	}
	return h.Read(r)
}

// ReadTrailer reads the trailer behind a body in chunks into h, the head of the same reply. Its
// limit and errors are those of ReadHead.
func ReadTrailer(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	if err := await(r, &headCheck{isTrailer: true}); err != nil {
		return err
	}
	return h.ReadTrailer(r)
}

// await waits until the buffer of r holds a whole head or trailer, and checks it meanwhile.
func await(r *bufio.Reader, c *headCheck) error {
	for n := 1; ; n = r.Buffered() + 1 {
		_, readErr := r.Peek(n)
		head, _ := r.Peek(r.Buffered()) // never fails: the bytes are buffered
		done, err := c.check(head)
		switch {
		case done || err != nil:
			return err
		case errors.Is(readErr, bufio.ErrBufferFull):
			return fmt.Errorf("%w: %d bytes", ErrTooLarge, r.Size())
		case readErr != nil:
			return readErr
		}
	}
}
