// Package httpserve contains helpers shared by the HTTP servers.
package httpserve

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

// DiscardLogger is a fasthttp.Logger that discards fasthttp's messages about
// single connections. The request handlers log or count failed requests
// themselves.
type DiscardLogger struct{}

// Printf implements fasthttp.Logger.
func (DiscardLogger) Printf(string, ...any) {}

// IgnoreClosed returns nil if err reports that the listener was closed, and err
// otherwise.
func IgnoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// CloseWithoutResponse makes the server close the connection of a request without a
// response. A caller that has closed only its sending side must not take an empty response
// for an answer.
func CloseWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {}) // the server closes the connection once this returns
}
