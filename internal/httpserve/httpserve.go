// Package httpserve contains helpers shared by the HTTP servers.
package httpserve

import (
	"errors"
	"net"
)

// Quiet is a fasthttp.Logger that discards fasthttp's messages about single
// connections. The request handlers log failed requests themselves.
type Quiet struct{}

// Printf implements fasthttp.Logger.
func (Quiet) Printf(string, ...any) {}

// IgnoreClosed returns nil if err reports that the listener was closed, and err
// otherwise.
func IgnoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
