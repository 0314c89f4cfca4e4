package proxy

import (
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/entry"
)

// Calls were classified by a normalized path, and forwarded with another.
func TestCallHasTheForwardedPath(t *testing.T) {
	for target, want := range map[string]string{
		"/buy//clue/7": "/buy//clue/7", "/buy/../clue?x=/y": "/buy/../clue", "/%62uy%2Fclue": "/%62uy%2Fclue",
		"/buy/%6": "", "*": "", "http://tienda/buy": "",
	} {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetRequestURI(target)
		ctx.Request.Header.SetHost(testService)
		var r request
		var c entry.Call
		err := r.read(&ctx, &c)
		if c.Path != want || (err == nil) != (want != "") {
			t.Errorf("%s: path %q, %v; want %q", target, c.Path, err, want)
		}
	}
}
