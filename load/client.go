package load

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/httpreply"
)

// Limits of a client.
const (
	maxConns         = 8192
	dialTimeout      = 3 * time.Second
	maxResponseBytes = 16 << 20
)

// control is the client for lookups, stand-ins, agents and metrics.
var control = newClient()

// newClient returns a client that never retries by itself.
func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, MaxConnsPerHost: maxConns, MaxResponseBodySize: maxResponseBytes,
		Dial: func(a string) (net.Conn, error) { return httpreply.Dial(a, dialTimeout) },
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }
