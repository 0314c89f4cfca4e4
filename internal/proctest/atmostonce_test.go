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
	buyers       = 12
	buyDeadline  = 250 * time.Millisecond
	buyTries     = 6
	buyPause     = 60 * time.Millisecond
	failureTurns = 2
)

// purchase is what a buyer was told of one key.
type purchase struct {
	key      string
	answered bool
	notRun   bool
	wrong    string // a reply that is not the buyer's own
}

// buyer repeats purchases at one entry after another.
type buyer struct {
	s      *Site
	name   string
	rng    *rand.Rand
	client *fasthttp.Client
	done   []purchase
}

func newBuyer(s *Site, i int) *buyer {
	return &buyer{
		s: s, name: "buyer-" + strconv.Itoa(i), rng: rand.New(rand.NewPCG(uint64(i), 5)),
		client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, ReadTimeout: time.Second},
	}
}

func (b *buyer) entry() string { return b.s.EntryAddress(b.rng.IntN(b.s.opt.Entries)) }

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
		b.done = append(b.done, b.buy(a, b.name+"."+strconv.Itoa(i)))
	}
}

// getJSON reads the answer to a GET into out.
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

// lookup asks an entry for addresses and picks one with its permit.
func (b *buyer) lookup() (proxy.LookupAddress, bool) {
	var a proxy.LookupAnswer
	if err := getJSON(b.client, "http://"+b.entry()+headers.LookupPath+"?service=tienda", &a); err != nil || len(a.Addresses) == 0 {
		return proxy.LookupAddress{}, false
	}
	return a.Addresses[b.rng.IntN(len(a.Addresses))], true
}

// buy sends one purchase, first to the entry of its permit, until an answer
// is certain or the tries are used up. Now and then the buyer goes away in
// the middle of a try.
func (b *buyer) buy(a proxy.LookupAddress, name string) purchase {
	p := purchase{key: a.Permit + "/" + name}
	addr := a.Address
	for try := 1; try <= buyTries; try++ {
		patience := 2 * buyDeadline
		if b.rng.IntN(4) == 0 {
			patience = time.Duration(b.rng.IntN(30)) * time.Millisecond
		}
		b.try(&p, addr, name, try, patience)
		if p.answered || p.notRun {
			return p
		}
		time.Sleep(time.Duration(try) * buyPause) // long enough for a killed entry to come back
		addr = b.entry()
	}
	return p
}

func (b *buyer) try(p *purchase, addr, name string, try int, patience time.Duration) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + addr + "/buy")
	req.Header.SetHost("tienda")
	req.UseHostHeader = true
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(headers.Key, p.key)
	req.Header.Set(headers.Try, strconv.Itoa(try))
	req.Header.Set(headers.Deadline, strconv.FormatInt(buyDeadline.Milliseconds(), 10))
	req.Header.Set("X-Request", name)
	req.SetBodyString("pack 7")
	if err := b.client.DoTimeout(req, resp, patience); err != nil {
		return
	}
	switch outcome := string(resp.Header.Peek(headers.Outcome)); outcome {
	case "answered":
		p.answered = true
		if body := string(resp.Body()); !strings.HasSuffix(body, " /buy "+name+"\n") {
			p.wrong = body
		}
	case "not-run":
		p.notRun = true
	}
}

// Purchases run at most once, none that was told to be not run ran, and each
// answered buyer has their own whole answer, while entries are killed, paused
// past every timeout and replaced, upstreams lose replies, and buyers go away
// in the middle and repeat at other entries.
func TestPurchasesRunAtMostOnce(t *testing.T) {
	s := New(t, Options{Entries: 3, Lifetime: 10 * time.Second, Services: []standin.ServiceSettings{
		{Name: "tienda", Count: 4, Slots: 6, Queue: 20, Connections: 250, Work: config.Duration(10 * time.Millisecond)},
	}})
	s.StartAll()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	all := make([]*buyer, buyers)
	for i := range all {
		all[i] = newBuyer(s, i)
		wg.Go(func() { all[i].run(stop) })
	}
	for turn := range failureTurns {
		s.failInTurn(t, turn)
	}
	close(stop)
	wg.Wait()
	time.Sleep(2 * buyDeadline) // work that still waits at an upstream has ended
	checkPurchases(t, s, all)
}

// failInTurn makes one failure after another.
func (s *Site) failInTurn(t *testing.T, turn int) {
	killed, paused := turn%s.opt.Entries, (turn+1)%s.opt.Entries
	s.loseReplies(true)
	time.Sleep(buyDeadline)
	s.loseReplies(false)
	s.Entry(killed).Kill()
	time.Sleep(buyDeadline)
	if err := s.Entry(paused).Pause(); err != nil {
		t.Fatal(err)
	}
	s.StartEntry(killed)
	time.Sleep(4 * buyDeadline)
	if err := s.Entry(paused).Resume(); err != nil {
		t.Fatal(err)
	}
	s.WaitEntry(killed)
	time.Sleep(buyDeadline)
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
		for _, p := range b.done {
			n := runs[p.key]
			switch {
			case p.wrong != "":
				t.Errorf("key %s got %q", p.key, p.wrong)
			case p.answered && n != 1:
				t.Errorf("key %s was answered and ran %d times", p.key, n)
			case p.notRun && n != 0:
				t.Errorf("key %s was told not-run and ran %d times", p.key, n)
			}
			answered += count(p.answered)
			notRun += count(p.notRun)
			unknown += count(!p.answered && !p.notRun)
		}
	}
	t.Logf("purchases answered %d, not run %d, unknown %d; keys that ran %d", answered, notRun, unknown, len(runs))
	if answered == 0 {
		t.Error("no purchase was answered")
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
