package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/customer"
	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/route"
)

const (
	testKey      = "k-4711-secret"
	testCustomer = "museo"
	maxKeyAge    = 3 * time.Second
)

// customersWith returns a set with the test's customer, which holds keys.
func customersWith(t *testing.T, keys ...string) *customer.Set {
	t.Helper()
	set := customer.NewSet()
	set.Add(customer.Customer{Name: testCustomer, Priority: 3, HasPriority: true})
	for _, key := range keys {
		if _, ok := set.AddKey(testCustomer, key); !ok {
			t.Fatal("key not added")
		}
	}
	return set
}

// keyedGateway is a testGateway with customers, whose copy of the store has the age that the
// test sets.
type keyedGateway struct {
	*testGateway
	stub *stub
	age  atomic.Int64

	mu     sync.Mutex
	logged bytes.Buffer
	heads  []http.Header // of the requests at the stub, with their trailers
}

func newKeyedGateway(t *testing.T, customers *customer.Set) *keyedGateway {
	t.Helper()
	k := &keyedGateway{}
	k.testGateway = startTestGatewayUsing(t, testStop, log.NewLogfmtLogger(log.NewSyncWriter(k)), func(o *Options) { o.Limits.KeyMaxAge = maxKeyAge }, func(h *Hooks) {
		h.CopyAge = func() time.Duration { return time.Duration(k.age.Load()) }
	})
	k.stub = newStub(t, "i-a", func(s *stub, c net.Conn, r *http.Request, body string) bool {
		k.mu.Lock()
		head := r.Header.Clone()
		for name, values := range r.Trailer {
			head[name] = append(head[name], values...)
		}
		k.heads = append(k.heads, head)
		k.mu.Unlock()
		return answerOK(s, c, r, body)
	})
	k.setCustomers(1, customers)
	return k
}

// Write records a log line.
func (k *keyedGateway) Write(p []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.logged.Write(p)
}

func (k *keyedGateway) logText() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.logged.String()
}

// setCustomers puts a configuration in force with a public route and one that is not.
func (k *keyedGateway) setCustomers(version uint64, customers *customer.Set) {
	rule := func(name, prefix string, public bool) route.Rule {
		return route.Rule{
			Name: name, Host: testHost, Prefix: prefix, Public: public, Timeout: 2 * time.Second, TargetLatency: time.Second,
			MaxAttempts: 2, Parts: []route.Part{{Service: testService, Weight: 1}},
		}
	}
	doc := &route.Document{
		Version: version, Rules: []route.Rule{rule("closed", "/closed/", false), rule("open", "/open/", true)}, Customers: customers,
		Services: []route.Service{{Name: testService, HealthPath: "/health"}},
	}
	u := &discovery.Upstream{ID: k.stub.id, Service: testService, Address: k.stub.ln.Addr().String(), DataCentre: "otavalo", Slots: 6}
	k.g.SetRoutes(route.NewTable(doc, k.g.rng), map[string][]*discovery.Upstream{testService: {u}})
}

// send sends a request with the header lines and returns its response, and the header of the
// request at the stub, nil if it did not arrive.
func (k *keyedGateway) send(t *testing.T, path, lines, body string) (reply, http.Header) {
	t.Helper()
	k.mu.Lock()
	before := len(k.heads)
	k.mu.Unlock()
	c, err := net.Dial("tcp4", k.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: r\r\n%s\r\n%s", path, testHost, lines, body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s %q: %v", path, lines, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	k.mu.Lock()
	defer k.mu.Unlock()
	var head http.Header
	if len(k.heads) > before {
		head = k.heads[len(k.heads)-1]
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}, head
}

const emptyBody = "Content-Length: 0\r\n"

func bearer(key string) string { return "Authorization: Bearer " + key + "\r\n" }

// A request without a key of a customer must get 401 unless its route is public, and no
// upstream or log may show a key.
func TestKeysAreRequired(t *testing.T) {
	k := newKeyedGateway(t, customersWith(t, testKey))
	for _, c := range []struct {
		path, lines string
		status      int
		reason      string // of a refusal
		customer    string // at the upstream
	}{
		{"/closed/1", bearer(testKey), 200, "", testCustomer},
		{"/closed/1", "authorization: bEARER  " + testKey + " \r\n", 200, "", testCustomer},
		{"/closed/1", "", 401, "missing-key", ""},
		{"/closed/1", bearer(testKey + "x"), 401, "unknown-key", ""},
		{"/closed/1", bearer(""), 401, "malformed-key", ""},
		{"/closed/1", bearer(strings.Repeat("x", customer.MaxKeyBytes+1)), 401, "malformed-key", ""},
		{"/closed/1", "Authorization: Basic " + testKey + "\r\n", 401, "malformed-key", ""},
		{"/closed/1", "Authorization: " + testKey + "\r\n", 401, "malformed-key", ""},
		{"/closed/1", bearer(testKey) + bearer(testKey), 401, "malformed-key", ""},
		{"/closed/1", bearer(testKey) + "AUTHORIZATION: x\r\n", 401, "malformed-key", ""},
		{"/nowhere/", "", 404, "no-route", ""},
		{"/open/1", "", 200, "", ""},
		{"/open/1", bearer("unknown-secret"), 200, "", ""},
		{"/open/1", bearer(testKey), 200, "", testCustomer},
		{"/open/1", bearer(testKey) + bearer(testKey), 200, "", ""},
	} {
		r, head := k.send(t, c.path, c.lines+emptyBody, "")
		if r.status != c.status || strings.TrimSpace(r.body) != c.reason && c.reason != "" {
			t.Errorf("%s %q: status %d, body %q; want %d, %q", c.path, c.lines, r.status, r.body, c.status, c.reason)
		}
		if got := r.header.Get("WWW-Authenticate"); (got == "Bearer") != (c.status == 401) {
			t.Errorf("%s %q: WWW-Authenticate %q", c.path, c.lines, got)
		}
		if (head != nil) != (c.status == 200) {
			t.Errorf("%s %q: status %d, header at the upstream %v", c.path, c.lines, r.status, head)
		}
		if got := head.Get("Customer-Name"); got != c.customer || len(head.Values("Authorization")) > 0 {
			t.Errorf("%s %q: customer %q, header at the upstream %v", c.path, c.lines, got, head)
		}
	}
	if text := k.logText(); strings.Contains(text, "secret") || !strings.Contains(text, "unknown-key") {
		t.Errorf("the log shows a key, or no refusal:\n%s", text)
	}
}

// A caller must not be able to name a customer to an upstream, whether or not there are
// customers, nor have the key or the name that this system sets left out.
func TestCallersNameNoCustomer(t *testing.T) {
	chunked := "Transfer-Encoding: chunked\r\nTrailer: Customer-Name\r\n"
	for name, c := range map[string]struct{ lines, body string }{
		"plain":         {"Customer-Name: forged\r\n" + emptyBody, ""},
		"repeated":      {"CUSTOMER-NAME: forged\r\ncustomer-name: forged\r\n" + emptyBody, ""},
		"in Connection": {"Customer-Name: forged\r\nConnection: Customer-Name, Authorization\r\n" + emptyBody, ""},
		"in a trailer":  {chunked, "2\r\nab\r\n0\r\nCustomer-Name: forged\r\n\r\n"},
		"unannounced":   {"Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\nCustomer-Name: forged\r\nCustomer-name: forged\r\n\r\n"},
	} {
		for _, customers := range []*customer.Set{nil, customersWith(t, testKey)} {
			k := newKeyedGateway(t, customers)
			var want []string
			if customers != nil {
				want = []string{testCustomer}
			}
			r, head := k.send(t, "/closed/1", bearer(testKey)+c.lines, c.body)
			if got := head.Values("Customer-Name"); r.status != 200 || fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("%s, with customers %v: status %d, customers at the upstream %v", name, customers != nil, r.status, got)
			}
			if got := head.Get("Authorization"); (got != "") != (customers == nil && name != "in Connection") {
				t.Errorf("%s, with customers %v: Authorization %q at the upstream", name, customers != nil, got)
			}
		}
	}
}

// A key in a trailer is none: it would arrive after the request was admitted.
func TestKeyInTrailerIsNone(t *testing.T) {
	k := newKeyedGateway(t, customersWith(t, testKey))
	r, head := k.send(t, "/closed/1", "Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n"+bearer(testKey)+"\r\n")
	if r.status != 401 || head != nil {
		t.Errorf("status %d, header at the upstream %v", r.status, head)
	}
	_, head = k.send(t, "/open/1", "Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n"+bearer(testKey)+"\r\n")
	if len(head.Values("Authorization")) > 0 {
		t.Errorf("the key of a trailer reached the upstream: %v", head)
	}
}

// A key that was withdrawn while its request waited for a body or a slot was still served.
func TestWithdrawnKeyEndsWaitingCalls(t *testing.T) {
	k := newKeyedGateway(t, customersWith(t, testKey))
	c, err := net.Dial("tcp4", k.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const early, late = prefetchedBody + 1, 50_000 // the handler starts after the first
	fmt.Fprintf(c, "POST /closed/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: r\r\n%sContent-Length: %d\r\n\r\n%s", testHost, bearer(testKey), early+late, strings.Repeat("x", early))
	for deadline := time.Now().Add(5 * time.Second); k.g.inFlight.Load() == 0; {
		if time.Now().After(deadline) {
			t.Fatal("the request did not begin")
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // the key is checked at the begin
	k.setCustomers(2, customersWith(t, "another"))
	fmt.Fprint(c, strings.Repeat("x", late))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 401 || resp.Header.Get("WWW-Authenticate") != "Bearer" || k.stub.runCount("r") > 0 {
		t.Errorf("status %d, run %d times", resp.StatusCode, k.stub.runCount("r"))
	}
}

// With a copy of the store that may lack a withdrawal, keys must be refused, public routes
// served, and the instance must be unready before. Both end with the next confirmation.
func TestOldCopyRefusesKeys(t *testing.T) {
	k := newKeyedGateway(t, customersWith(t, testKey))
	for _, c := range []struct {
		age    time.Duration
		ready  bool
		status int
	}{{0, true, 200}, {maxKeyAge * 6 / 10, false, 200}, {maxKeyAge - keyMargin, false, 503}, {unknownAge, false, 503}, {time.Second, true, 200}} {
		k.age.Store(int64(c.age))
		k.g.CheckKeys()
		served := int64(0)
		if c.status == 200 {
			served = 1
		}
		if gauge, ok := k.g.metrics.registry.Get("keys_served").(interface{ Value() int64 }); k.g.Ready() != c.ready || !ok || gauge.Value() != served {
			t.Errorf("age %v: ready %v, keys_served %v", c.age, k.g.Ready(), gauge)
		}
		r, head := k.send(t, "/closed/1", bearer(testKey)+emptyBody, "")
		if r.status != c.status || (head != nil) != (c.status == 200) {
			t.Errorf("age %v: status %d, header at the upstream %v", c.age, r.status, head)
		}
		if c.status == 503 && (strings.TrimSpace(r.body) != "keys-out-of-date" || r.header.Get("Retry-After") == "") {
			t.Errorf("age %v: body %q, header %v", c.age, r.body, r.header)
		}
		if r, _ := k.send(t, "/closed/1", emptyBody, ""); r.status != 401 {
			t.Errorf("age %v: status %d without a key", c.age, r.status)
		}
		if r, head := k.send(t, "/open/1", bearer(testKey)+emptyBody, ""); r.status != 200 || (head.Get("Customer-Name") != "") != (c.status == 200) {
			t.Errorf("age %v: status %d on a public route, header at the upstream %v", c.age, r.status, head)
		}
	}
	for _, state := range []string{stateUnready, stateRefusing} {
		if n := len(regexp.MustCompile("state="+state+"\\b").FindAllString(k.logText(), -1)); n != 2 {
			t.Errorf("%d log lines on %s, want its begin and its end:\n%s", n, state, k.logText())
		}
	}
}

// An age without customers to refuse, or without a limit, must change nothing.
func TestOldCopyWithoutCustomersOrLimit(t *testing.T) {
	k := newKeyedGateway(t, nil)
	k.age.Store(int64(time.Hour))
	if r, head := k.send(t, "/closed/1", bearer(testKey)+emptyBody, ""); r.status != 200 || head.Get("Authorization") == "" || !k.g.Ready() {
		t.Errorf("without customers: status %d, ready %v, header at the upstream %v", r.status, k.g.Ready(), head)
	}
	k.setCustomers(2, customersWith(t, testKey))
	limits := k.g.opt.Limits
	limits.KeyMaxAge = 0
	k.g.SetLimits(limits)
	if r, _ := k.send(t, "/closed/1", bearer(testKey)+emptyBody, ""); r.status != 200 || !k.g.Ready() {
		t.Errorf("without a limit: status %d, ready %v", r.status, k.g.Ready())
	}
}

// Lookups named no instance while the store answered none, although all of them serve public
// routes.
func TestLookupWhileNoneIsReady(t *testing.T) {
	unready := Fleet{Unready: []Instance{{Address: "10.0.0.1:1", DataCentre: "otavalo"}}, Live: map[string]int{"otavalo": 1}}
	for limit, want := range map[time.Duration]int{0: http.StatusServiceUnavailable, maxKeyAge: http.StatusOK} {
		tg := newTestGatewayWith(t, func(o *Options) { o.Limits.KeyMaxAge = limit })
		lookup := func() (int, string) {
			resp, err := http.Get("http://" + tg.auxAddr + "/lookup?place=otavalo")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			text, _ := io.ReadAll(resp.Body)
			return resp.StatusCode, string(text)
		}
		tg.g.SetFleet(unready)
		if status, text := lookup(); status != want || want == http.StatusOK && !strings.Contains(text, "10.0.0.1:1") {
			t.Errorf("limit %v, none ready: status %d, %s", limit, status, text)
		}
		ready := unready
		ready.Usable = []Instance{{Address: "10.0.0.2:1", DataCentre: "quito"}}
		tg.g.SetFleet(ready)
		if status, text := lookup(); status != http.StatusOK || strings.Contains(text, "10.0.0.1:1") {
			t.Errorf("limit %v, one ready: status %d, %s", limit, status, text)
		}
	}
}

// The digest by which requests are quarantined is logged and sent to other instances: a short
// key could be guessed from it. Customers' requests must still differ.
func TestContentHoldsNoKey(t *testing.T) {
	content := func(key string, hasCustomers bool, cust *customer.Customer) string {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.Set("Authorization", "Bearer "+key)
		c := &call{ctx: ctx, body: &requestBody{}, hasCustomers: hasCustomers, customer: cust}
		return c.content().String()
	}
	a, b := &customer.Customer{Name: "a"}, &customer.Customer{Name: "b"}
	if content("1", true, a) != content("2", true, a) || content("1", true, nil) != content("2", true, nil) {
		t.Error("the content depends on the key")
	}
	if content("1", true, a) == content("1", true, b) || content("1", true, a) == content("1", true, nil) {
		t.Error("the content is the same for two customers")
	}
	if content("1", false, nil) == content("2", false, nil) {
		t.Error("without customers, the content does not depend on the credentials")
	}
}

// The key must be what a plain reading of the header line finds, and no value may cause a
// panic.
func FuzzKeyOf(f *testing.F) {
	for _, s := range []string{"Bearer k", "bearer  k ", "Bearer", "Bearer ", "Basic k", "", " Bearer k", "Bearer a b", "Bearer\tk", strings.Repeat("Bearer k", 64)} {
		f.Add(s, false)
		f.Add(s, true)
	}
	plain := regexp.MustCompile(`(?is)^bearer +([^ ]|[^ ].*[^ ]) *$`)
	f.Fuzz(func(t *testing.T, value string, repeated bool) {
		var h fasthttp.RequestHeader
		h.Add("Authorization", value)
		if repeated {
			h.Add("authorization", value)
		}
		stored := string(h.Peek("Authorization"))
		want := ""
		// The pattern takes invalid UTF-8 byte by byte, as the code does.
		if m := plain.FindStringSubmatch(stored); m != nil && !repeated && len(m[1]) <= customer.MaxKeyBytes {
			want = m[1]
		}
		got := presentedKeyOf(&h)
		if string(got.key) != want || (got.refusal == nil) != (want != "") {
			t.Errorf("%q, repeated %v: key %q, refusal %v; want %q", value, repeated, got.key, got.refusal, want)
		}
	})
}

// Forms of a header line that HTTP does not allow must not bring a customer's name, or a key, past
// the removal of these headers.
func TestOddHeaderLinesNameNoCustomer(t *testing.T) {
	k := newKeyedGateway(t, customersWith(t, testKey))
	for _, lines := range []string{
		"Customer-Name : forged\r\n", "Customer-Name\t: forged\r\n", " Customer-Name: forged\r\n", "X: y\r\n Customer-Name: forged\r\n",
		"X: y\rCustomer-Name: forged\r\n", "X: y\nCustomer-Name: forged\r\n", "Customer-Name:forged\r\n", "Customer-Name: a\r\n forged\r\n",
		"Authorization : forged\r\n", "X: y\r\n Authorization: forged\r\n", "X: y\nAuthorization: forged\r\n",
	} {
		r, head := k.send(t, "/open/1", lines+emptyBody, "")
		if names := head.Values("Customer-Name"); len(names) > 0 || len(head.Values("Authorization")) > 0 {
			t.Errorf("%q: status %d, header at the upstream %v", lines, r.status, head)
		}
		if r.status != 200 && r.status != 400 {
			t.Errorf("%q: status %d", lines, r.status)
		}
	}
}
