package proctest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/proxy"
	"github.com/catkinrouter/catkinrouter/standin"
)

const (
	buyerCount       = 12
	purchaseDeadline = 250 * time.Millisecond
	maxAttempts      = 6
	retryBackoff     = 60 * time.Millisecond
	failureRounds    = 2
)

// purchase is the outcome that a buyer received for one key.
type purchase struct {
	key       string
	answered  bool
	notRun    bool
	wrongBody string // body of a response that is not the complete answer to this purchase
}

// buyer sends purchases and retries them at other entries.
type buyer struct {
	s         *Site
	name      string
	rng       *rand.Rand
	client    *fasthttp.Client
	purchases []purchase
}

func newBuyer(s *Site, i int) *buyer {
	return &buyer{
		s: s, name: "buyer-" + strconv.Itoa(i), rng: rand.New(rand.NewPCG(uint64(i), 5)),
		client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, ReadTimeout: time.Second},
	}
}

func (b *buyer) randomEntry() string { return b.s.EntryAddress(b.rng.IntN(b.s.opt.Entries)) }

// run makes purchases until stop closes.
func (b *buyer) run(stop <-chan struct{}) {
	defer b.client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		a, ok := b.lookup()
		if !ok {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		b.purchases = append(b.purchases, b.buy(a, b.name+"."+strconv.Itoa(i)))
	}
}

// getJSON sends a GET request and decodes the JSON response into out.
func getJSON(c *fasthttp.Client, url string, out any) error {
	code, body, err := c.GetTimeout(nil, url, time.Second)
	if err != nil {
		return err
	}
	if code != fasthttp.StatusOK {
		return fmt.Errorf("%s: status %d: %s", url, code, body)
	}
	return json.Unmarshal(body, out)
}

// lookup queries a random entry and returns one of the addresses in the answer,
// with its permit.
func (b *buyer) lookup() (proxy.LookupAddress, bool) {
	var a proxy.LookupAnswer
	if err := getJSON(b.client, "http://"+b.randomEntry()+headers.LookupPath+"?service=tienda", &a); err != nil || len(a.Addresses) == 0 {
		return proxy.LookupAddress{}, false
	}
	return a.Addresses[b.rng.IntN(len(a.Addresses))], true
}

// buy sends one purchase, first to the entry that issued the permit, and retries
// it at random entries until its outcome is known or the attempts are used up.
// One attempt in four has a timeout below 30 ms, so that the buyer may disconnect
// while the call is in flight.
func (b *buyer) buy(a proxy.LookupAddress, name string) purchase {
	p := purchase{key: a.Permit + "/" + name}
	addr := a.Address
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		timeout := 2 * purchaseDeadline
		if b.rng.IntN(4) == 0 {
			timeout = time.Duration(b.rng.IntN(30)) * time.Millisecond
		}
		b.attempt(&p, addr, name, attempt, timeout)
		if p.answered || p.notRun {
			return p
		}
		time.Sleep(time.Duration(attempt) * retryBackoff) // long enough for a killed entry to restart
		addr = b.randomEntry()
	}
	return p
}

func (b *buyer) attempt(p *purchase, addr, name string, attempt int, timeout time.Duration) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + addr + "/buy")
	req.Header.SetHost("tienda")
	req.UseHostHeader = true
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(headers.Key, p.key)
	req.Header.Set(headers.Try, strconv.Itoa(attempt))
	req.Header.Set(headers.Deadline, strconv.FormatInt(purchaseDeadline.Milliseconds(), 10))
	req.Header.Set("X-Request", name)
	req.SetBodyString("pack 7")
	if err := b.client.DoTimeout(req, resp, timeout); err != nil {
		return
	}
	switch outcome := string(resp.Header.Peek(headers.Outcome)); outcome {
	case "answered":
		p.answered = true
		if body := string(resp.Body()); !strings.HasSuffix(body, " /buy "+name+"\n") {
			p.wrongBody = body
		}
	case "not-run":
		p.notRun = true
	}
}

// A purchase runs at most once, a purchase reported as not-run did not run, and
// an answered buyer gets the complete answer to its own purchase. Meanwhile
// entries are killed, suspended longer than every timeout and replaced, upstreams
// lose replies, and buyers disconnect mid-call and retry at other entries.
func TestPurchasesRunAtMostOnce(t *testing.T) {
	s := New(t, Options{Entries: 3, Lifetime: 10 * time.Second, Services: []standin.ServiceSettings{
		{Name: "tienda", Count: 4, Slots: 6, Queue: 20, Connections: 250, Work: config.Duration(10 * time.Millisecond)},
	}})
	s.StartAll()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	all := make([]*buyer, buyerCount)
	for i := range all {
		all[i] = newBuyer(s, i)
		wg.Go(func() { all[i].run(stop) })
	}
	for round := range failureRounds {
		s.injectFailures(t, round)
	}
	close(stop)
	wg.Wait()
	time.Sleep(2 * purchaseDeadline) // lets requests queued at the upstreams finish
	checkPurchases(t, s, all)
}

// injectFailures makes the upstreams lose replies for a while, then kills and
// restarts one entry while another is suspended.
func (s *Site) injectFailures(t *testing.T, round int) {
	killed, paused := round%s.opt.Entries, (round+1)%s.opt.Entries
	s.loseReplies(true)
	time.Sleep(purchaseDeadline)
	s.loseReplies(false)
	s.Entry(killed).Kill()
	time.Sleep(purchaseDeadline)
	if err := s.Entry(paused).Pause(); err != nil {
		t.Fatal(err)
	}
	s.StartEntry(killed)
	time.Sleep(4 * purchaseDeadline)
	if err := s.Entry(paused).Resume(); err != nil {
		t.Fatal(err)
	}
	s.WaitEntry(killed)
	time.Sleep(purchaseDeadline)
}

func (s *Site) loseReplies(lose bool) {
	for _, u := range s.Counts() {
		s.SetUpstreamFaults(u.ID, standin.UpstreamFaults{LoseReplies: lose})
	}
}

func checkPurchases(t *testing.T, s *Site, all []*buyer) {
	t.Helper()
	runs := map[string]int{}
	for _, u := range s.Counts() {
		for k, n := range u.Ledger {
			runs[k] += n
		}
	}
	for k, n := range runs {
		if n > 1 {
			t.Errorf("key %s ran %d times", k, n)
		}
	}
	var answered, notRun, unknown int
	for _, b := range all {
		for _, p := range b.purchases {
			n := runs[p.key]
			switch {
			case p.wrongBody != "":
				t.Errorf("key %s got a wrong answer: %q", p.key, p.wrongBody)
			case p.answered && n != 1:
				t.Errorf("key %s was answered but ran %d times, want 1", p.key, n)
			case p.notRun && n != 0:
				t.Errorf("key %s was reported as not-run but ran %d times", p.key, n)
			}
			answered += toInt(p.answered)
			notRun += toInt(p.notRun)
			unknown += toInt(!p.answered && !p.notRun)
		}
	}
	t.Logf("purchases answered %d, not run %d, unknown %d; keys that ran %d", answered, notRun, unknown, len(runs))
	if answered == 0 {
		t.Error("no purchase was answered")
	}
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
