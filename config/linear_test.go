package config_test

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/platform"
	"github.com/catkinrouter/catkinrouter/standin"
	"github.com/catkinrouter/catkinrouter/store"
	"github.com/catkinrouter/catkinrouter/store/storetest"
)

type opKind int

const (
	opPlan opKind = iota
	opConfirm
	opRead
)

type opInput struct {
	kind opKind
	plan string
	base int
}

type ending int

const (
	ok ending = iota
	stale
	noEffect
	indefinite
)

type opOutput struct {
	ending   ending
	revision int // base of a plan, revision of a confirm or read
	plan     string
}

// history is the model's state: the IDs of the accepted plans in order.
type history string

func (h history) plans() []string { return strings.Fields(string(h)) }

// model is a history that confirms append to, once for each plan.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{history("")} },
	Step: func(state, in, out any) (next []any) {
		for _, h := range step(state.(history), in.(opInput), out.(opOutput)) {
			next = append(next, h)
		}
		return next
	},
}

func step(h history, in opInput, out opOutput) []history {
	plans := h.plans()
	appended := []history{h + history(" "+in.plan)}
	fits := len(plans) == in.base && !slices.Contains(plans, in.plan)
	holds := func(b bool) []history {
		if b {
			return []history{h}
		}
		return nil
	}
	switch {
	case out.ending == noEffect:
		return []history{h}
	case in.kind == opPlan:
		return holds(out.revision == len(plans))
	case in.kind == opRead:
		return holds(out.revision == len(plans) && (len(plans) == 0 || plans[len(plans)-1] == out.plan))
	case out.ending == stale:
		return holds(len(plans) > in.base && plans[in.base] != in.plan)
	case out.ending == indefinite && fits:
		return append(appended, h)
	case out.ending == indefinite:
		return []history{h}
	case slices.Contains(plans, in.plan):
		return holds(plans[out.revision-1] == in.plan)
	case fits && out.revision == in.base+1:
		return appended
	}
	return nil
}

// recorder collects the operations of several clients.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	plans []opInput
}

// do records f as an operation; an indefinite one may take effect later.
func (r *recorder) do(client int, in opInput, f func() opOutput) opOutput {
	call := time.Since(r.start).Nanoseconds()
	out := f()
	end := time.Since(r.start).Nanoseconds()
	if out.ending == indefinite {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
	return out
}

func endingOf(err error) ending {
	var s *config.StaleError
	var i *config.IndefiniteError
	switch {
	case err == nil:
		return ok
	case errors.As(err, &s):
		return stale
	case errors.As(err, &i):
		return indefinite
	}
	return noEffect
}

func (r *recorder) plan(client int, c *config.Committer, doc *config.Document) {
	out := r.do(client, opInput{kind: opPlan}, func() opOutput {
		p, err := c.Plan(context.Background(), doc)
		if err != nil {
			return opOutput{ending: noEffect}
		}
		return opOutput{revision: int(p.Base), plan: p.ID}
	})
	if out.ending == ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.plans = append(r.plans, opInput{kind: opConfirm, plan: out.plan, base: out.revision})
	}
}

// confirm confirms one of the newest plans, of any client.
func (r *recorder) confirm(client int, c *config.Committer, rng *rand.Rand) {
	r.mu.Lock()
	if len(r.plans) == 0 {
		r.mu.Unlock()
		return
	}
	newest := r.plans[max(0, len(r.plans)-6):]
	in := newest[rng.IntN(len(newest))]
	r.mu.Unlock()
	r.do(client, in, func() opOutput {
		a, err := c.Confirm(context.Background(), in.plan)
		return opOutput{ending: endingOf(err), revision: int(a.Revision)}
	})
}

func (r *recorder) read(client int, c *config.Committer) {
	r.do(client, opInput{kind: opRead}, func() opOutput {
		h, _, err := c.Head(context.Background())
		return opOutput{ending: endingOf(err), revision: int(h.Revision), plan: h.PlanID}
	})
}

// race lets clients plan, confirm and read at once on their stores, and
// checks that what they were told is linearizable.
func race(t *testing.T, stores []store.Store, rounds int) {
	r := &recorder{start: time.Now()}
	var wg sync.WaitGroup
	for i, s := range stores {
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		c := config.NewCommitter(s)
		wg.Go(func() {
			for range rounds {
				r.plan(i, c, document(1+rng.IntN(1000)))
				r.confirm(i, c, rng)
				r.read(i, c)
				r.confirm(i, c, rng)
			}
		})
	}
	wg.Wait()
	if !porcupine.CheckOperations(model.ToModel(), r.ops) {
		t.Fatalf("%d operations are not linearizable", len(r.ops))
	}
}

// races is the number of short histories; the check's cost grows fast with
// their length.
const races = 30

// Plans, confirms and reads are linearizable on a store that fails at random.
func TestConfirmIsLinearizable(t *testing.T) {
	for seed := range uint64(races) {
		shared := storetest.NewStore(time.Now, nil)
		var stores []store.Store
		for i := range uint64(4) {
			rng := rand.New(rand.NewPCG(seed, i))
			stores = append(stores, shared.Client("client", func(context.Context, storetest.Call) storetest.Fault {
				return randomFault(shared, rng)
			}))
		}
		race(t, stores, 4)
	}
}

func randomFault(store *storetest.Store, rng *rand.Rand) storetest.Fault {
	choices := []storetest.Fault{storetest.Down, storetest.LostCall, storetest.LostAnswer, storetest.Late}
	runtime.Gosched()
	switch rng.IntN(6) {
	case 0:
		store.Release(0)
	case 1:
		return choices[rng.IntN(len(choices))]
	}
	return storetest.None
}

// The same over HTTP, while the platform loses and delays writes and goes
// down for moments.
func TestConfirmIsLinearizableOverHTTP(t *testing.T) {
	for range 5 {
		raceOverHTTP(t)
	}
}

func raceOverHTTP(t *testing.T) {
	p := standin.NewPlatform(nil)
	addr, stop := serve(t, p)
	defer stop()
	var stores []store.Store
	for range 4 {
		c := platform.NewStore(addr)
		defer c.Close()
		stores = append(stores, c)
	}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		rng := rand.New(rand.NewPCG(3, 0))
		for {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
				p.SetFaults(standin.PlatformFaults{
					Down: rng.IntN(8) == 0, LoseAnswers: rng.IntN(3), LoseCalls: rng.IntN(2), LateWrites: rng.IntN(2), LateMillis: 3,
				})
			}
		}
	}()
	race(t, stores, 4)
	close(done)
	<-ended
}

// serve serves p on loopback until stop is called.
func serve(t *testing.T, p *standin.Platform) (addr string, stop func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: p.Handle, CloseOnShutdown: true, NoDefaultDate: true}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(ln) }()
	return ln.Addr().String(), func() {
		if err := srv.Shutdown(); err != nil {
			t.Error(err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
