package proxy

import (
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/headers"
)

// A repeat of a keyed call gets the complete stored reply, its header
// included, and does not run again.
func TestRepeatGetsStoredReply(t *testing.T) {
	var runs atomic.Int32
	site := newTestSite(t, noRules, startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		runs.Add(1)
		ctx.Response.Header.Set("X-Pack", "7")
		ctx.Response.Header.Set(headers.Load, "1/6")
		ctx.SetStatusCode(fasthttp.StatusCreated)
		ctx.SetBodyString("pack 7")
	}))
	buy := rawRequest("POST /buy", "", "Content-Length: 0", "Catkin-Key: "+site.permit()+"/one")
	text := func(r *fasthttp.Response) string {
		r.Header.Del(fasthttp.HeaderDate)
		return r.String()
	}
	first, again := text(site.roundTrip(buy)), text(site.roundTrip(buy))
	if d := cmp.Diff(first, again); d != "" {
		t.Error(d)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("ran %d times", n)
	}
}
