package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/pick"
)

// A panic while one request is served, here in the decoder of load reports, must
// end that request, not the process; the next one is served.
func TestPanicEndsOneRequest(t *testing.T) {
	for _, on := range []string{"probe", "reply", "lookup"} {
		s := newStub(t, "i-a", answerOK)
		tg := newTestGateway(t)
		tg.configure(time.Second, s)
		parse, encode := tg.g.proto.ParseLoad, tg.g.proto.EncodeLookup
		calls := 0
		tg.g.proto.ParseLoad = func(text string) (pick.Report, error) {
			if calls++; on == "probe" && calls == 1 || on == "reply" && calls == 2 {
				panic("decoder of load reports")
			}
			return parse(text)
		}
		tg.g.proto.EncodeLookup = func(addresses []string, ttl time.Duration) ([]byte, error) {
			if on == "lookup" {
				panic("encoder of lookups")
			}
			return encode(addresses, ttl)
		}
		if on == "lookup" {
			if resp, err := http.Get("http://" + tg.auxAddr + "/lookup?place=otavalo"); err != nil || resp.StatusCode != http.StatusInternalServerError {
				t.Errorf("lookup: %v, %v", resp, err)
			}
		} else {
			r := tg.call("POST", "/purchase/1", "t-1", "x")
			if r.err != nil || r.status == http.StatusServiceUnavailable && s.runCount("t-1") > 0 {
				t.Errorf("%s: status %d, error %v, run %d times", on, r.status, r.err, s.runCount("t-1"))
			}
		}
		if n := tg.g.metrics.panics.Count(); n != 1 {
			t.Errorf("%s: %d panics counted", on, n)
		}
		wantStatus(t, tg.call("POST", "/purchase/1", "t-2", "x"), http.StatusOK)
	}
}
