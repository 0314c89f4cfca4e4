// Package httpserve has what the project's HTTP servers share.
package httpserve

import (
	"errors"
	"net"
)

// Quiet is a fasthttp.Logger that drops what the library says of single
// connections; faults of requests are logged by those who serve them.
type Quiet struct{}

// Printf implements fasthttp.Logger.
func (Quiet) Printf(string, ...any) {}

// IgnoreClosed returns nil for the error of a listener that was closed.
func IgnoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
