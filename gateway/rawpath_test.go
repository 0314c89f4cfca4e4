package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/route"
)

// Requests were routed by a normalized path, and forwarded with another: a purchase took the
// route of idempotent requests, and ran twice.
func TestRouteIsThatOfTheForwardedPath(t *testing.T) {
	const clues, purchases, all = "clues", "purchases", "all"
	tg := newTestGateway(t)
	var got atomic.Value
	services := map[string][]*discovery.Upstream{}
	doc := &route.Document{Version: 1}
	for name, prefix := range map[string]string{clues: "/buy/clue/", purchases: "/buy/", all: "/"} {
		u := newStub(t, name, func(s *stub, c net.Conn, r *http.Request, body string) bool {
			got.Store(r.RequestURI)
			return answerOK(s, c, r, s.id)
		})
		services[name] = []*discovery.Upstream{{ID: name, Service: name, Address: u.ln.Addr().String(), DataCentre: "otavalo", Slots: 6}}
		doc.Services = append(doc.Services, route.Service{Name: name, HealthPath: "/health"})
		doc.Rules = append(doc.Rules, route.Rule{
			Name: name, Host: testHost, Prefix: prefix, Timeout: 2 * time.Second, TargetLatency: time.Second, MaxAttempts: 2,
			Parts: []route.Part{{Service: name, Weight: 1}},
		})
	}
	tg.g.SetRoutes(route.NewTable(doc, tg.g.rng), services)
	for _, tt := range []struct{ target, service string }{
		{"/buy/clue/7", clues},
		{"/buy/clue/", clues},
		{"/buy/clue//7?x=/../..", clues},
		{"/buy/clue/../7", clues},
		{"/buy//clue/7", purchases},
		{"/buy/./clue/7", purchases},
		{"/buy/x/../clue/7", purchases},
		{"/buy/%63lue/7", purchases},
		{"/buy/clue%2F7", purchases},
		{"/buy/clue%2f7", purchases},
		{"/buy/clue", purchases},
		{"/buy/?q=/buy/clue/7", purchases},
		{"/buy/Clue/7", purchases},
		{"/buy%2Fclue/7", all},
		{"//buy/clue/7", all},
		{"/x/../buy/clue/7", all},
		{"/buy", all},
		{"/?/buy/", all},
		{"http://" + testHost + "/buy//clue/7?a=b", purchases},
		{"HTTP://" + testHost + "/buy/clue/7", clues},
		{"*", ""},
		{"?q", ""},
		{"buy/clue/7", ""},
		{"http://" + testHost, ""},
		{"/buy/clue/%6", ""},
		{"/buy/clue/%zz", ""},
	} {
		r := tg.call(http.MethodPost, tt.target, "id-"+tt.target, "")
		if tt.service == "" {
			if r.err != nil || r.status != http.StatusBadRequest {
				t.Errorf("%s: status %d, body %q, error %v; want 400", tt.target, r.status, r.body, r.err)
			}
			continue
		}
		if want := "answer to id-" + tt.target + " " + tt.service; r.body != want || got.Load() != tt.target {
			t.Errorf("%s: status %d, %q, error %v, forwarded %v; want %q", tt.target, r.status, r.body, r.err, got.Load(), want)
		}
	}
}
