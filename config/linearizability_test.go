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

// opStatus is the result of an operation as its caller sees it.
type opStatus int

const (
	ok opStatus = iota
	stale
	noEffect
	indefinite // may have taken effect or may still take effect
)

type opOutput struct {
	status   opStatus
	revision int // base of a plan, revision of a confirm or read
	plan     string
}

// planLog is the model's state: the IDs of the accepted plans in order, each
// after a space. It is a string because the checker compares states with ==.
type planLog string

func (l planLog) plans() []string { return strings.Fields(string(l)) }

// model is a log of plans to which a confirm appends its plan, each plan once.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{planLog("")} },
	Step: func(state, in, out any) (next []any) {
		for _, l := range step(state.(planLog), in.(opInput), out.(opOutput)) {
			next = append(next, l)
		}
		return next
	},
}

// step returns the states that an operation can lead to from l, or none if its
// output is impossible in l.
func step(l planLog, in opInput, out opOutput) []planLog {
	plans := l.plans()
	appended := []planLog{l + planLog(" "+in.plan)}
	canAppend := len(plans) == in.base && !slices.Contains(plans, in.plan)
	unchangedIf := func(possible bool) []planLog {
		if possible {
			return []planLog{l}
		}
		return nil
	}
	switch {
	case out.status == noEffect:
		return []planLog{l}
	case in.kind == opPlan:
		return unchangedIf(out.revision == len(plans))
	case in.kind == opRead:
		return unchangedIf(out.revision == len(plans) && (len(plans) == 0 || plans[len(plans)-1] == out.plan))
	case out.status == stale:
		return unchangedIf(len(plans) > in.base && plans[in.base] != in.plan)
	case out.status == indefinite && canAppend:
		return append(appended, l)
	case out.status == indefinite:
		return []planLog{l}
	case slices.Contains(plans, in.plan):
		return unchangedIf(plans[out.revision-1] == in.plan)
	case canAppend && out.revision == in.base+1:
		return appended
	}
	return nil
}

// recorder records the operations of concurrent clients.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	plans []opInput // confirms of the plans made so far
}

// do runs f and records it as an operation. An indefinite operation may take
// effect at any later time, so that it is recorded without an end.
func (r *recorder) do(client int, in opInput, f func() opOutput) opOutput {
	call := time.Since(r.start).Nanoseconds()
	out := f()
	end := time.Since(r.start).Nanoseconds()
	if out.status == indefinite {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
	return out
}

func statusOf(err error) opStatus {
	var staleErr *config.StaleError
	var indefiniteErr *config.IndefiniteError
	switch {
	case err == nil:
		return ok
	case errors.As(err, &staleErr):
		return stale
	case errors.As(err, &indefiniteErr):
		return indefinite
	}
	return noEffect
}

func (r *recorder) plan(client int, c *config.Committer, doc *config.Document) {
	out := r.do(client, opInput{kind: opPlan}, func() opOutput {
		p, err := c.Plan(context.Background(), doc)
		if err != nil {
			return opOutput{status: noEffect}
		}
		return opOutput{revision: int(p.Base), plan: p.ID}
	})
	if out.status == ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.plans = append(r.plans, opInput{kind: opConfirm, plan: out.plan, base: out.revision})
	}
}

// confirm confirms one of the six newest plans, of any client.
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
		return opOutput{status: statusOf(err), revision: int(a.Revision)}
	})
}

func (r *recorder) read(client int, c *config.Committer) {
	r.do(client, opInput{kind: opRead}, func() opOutput {
		h, _, err := c.Head(context.Background())
		return opOutput{status: statusOf(err), revision: int(h.Revision), plan: h.PlanID}
	})
}

// checkLinearizable plans, confirms and reads concurrently, one client on each
// store, and checks that the recorded operations are linearizable.
func checkLinearizable(t *testing.T, stores []store.Store, rounds int) {
	r := &recorder{start: time.Now()}
	var wg sync.WaitGroup
	for i, s := range stores {
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		c := config.NewCommitter(s)
		wg.Go(func() {
			for range rounds {
				r.plan(i, c, testDocument(1+rng.IntN(1000)))
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

// linearizabilityRuns is the number of histories checked. The histories are
// short because the cost of the check grows fast with their length.
const linearizabilityRuns = 30

// Plans, confirms and reads must be linearizable on a store with random
// faults.
func TestConfirmIsLinearizable(t *testing.T) {
	for seed := range uint64(linearizabilityRuns) {
		shared := storetest.NewStore(time.Now, nil)
		var stores []store.Store
		for i := range uint64(4) {
			rng := rand.New(rand.NewPCG(seed, i))
			stores = append(stores, shared.Client("client", func(context.Context, storetest.Call) storetest.Fault {
				return randomFault(shared, rng)
			}))
		}
		checkLinearizable(t, stores, 4)
	}
}

// randomFault returns a fault for one of six calls on average, and applies a
// delayed write at another one.
func randomFault(store *storetest.Store, rng *rand.Rand) storetest.Fault {
	choices := []storetest.Fault{storetest.Down, storetest.LostRequest, storetest.LostResponse, storetest.DelayedWrite}
	runtime.Gosched()
	switch rng.IntN(6) {
	case 0:
		store.ReleaseWrite(0)
	case 1:
		return choices[rng.IntN(len(choices))]
	}
	return storetest.None
}

// Plans, confirms and reads over HTTP must be linearizable while the platform
// loses and delays writes and answers and is down for short periods.
func TestConfirmIsLinearizableOverHTTP(t *testing.T) {
	for range 5 {
		checkLinearizableOverHTTP(t)
	}
}

func checkLinearizableOverHTTP(t *testing.T) {
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
					Down: rng.IntN(8) == 0, LoseResponses: rng.IntN(3), LoseRequests: rng.IntN(2), DelayedWrites: rng.IntN(2), LateMillis: 3,
				})
			}
		}
	}()
	checkLinearizable(t, stores, 4)
	close(done)
	<-ended
}

// serve serves p on a loopback address until stop is called.
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
