package entry

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/balance"
)

// TestAtMostOnce checks that no non-idempotent call runs twice and that
// callers are told the truth about what ran. It drives several entries through
// restarts, pauses, lost, late and duplicated messages, expired permits, full
// records and queues, differing configurations and differing views of the
// fleet.
func TestAtMostOnce(t *testing.T) {
	outcomes := map[string]int{}
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, noBug, outcomes) })
	for _, k := range slices.Sorted(maps.Keys(outcomes)) {
		t.Logf("%6d %s", outcomes[k], k)
	}
}

// TestAtMostOnceDetectsBugs checks that the simulation fails for variants with
// a known bug.
func TestAtMostOnceDetectsBugs(t *testing.T) {
	variants := []struct {
		name string
		bug  bug
		why  string
	}{
		{"hides written bytes", hidesWrittenBytes, "not-run|ran 2 times"},
		{"home by membership", homeByMembership, "not-run|ran 2 times"},
		{"ignores try numbers", ignoresTryNumbers, "was told not-run"},
		{"reuses connections", reusesConnections, "ran 2 times"},
		{"reuses incarnations", reusesIncarnations, "ran 2 times|told not-run"},
		{"mixes replies", mixesReplies, "was answered with"},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			why := checkFailure(t, func(t *rapid.T) { runSimulation(t, v.bug, map[string]int{}) })
			if !regexp.MustCompile(v.why).MatchString(why) {
				t.Fatalf("got %q, want a failure with %q", why, v.why)
			}
			t.Log(why)
		})
	}
}

func runSimulation(t *rapid.T, b bug, outcomes map[string]int) {
	sim := newSimulation(b,
		rapid.IntRange(2, 3).Draw(t, "entries"),
		rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "keys"),
		rapid.SampledFrom([]float64{-1, 1}).Draw(t, "retry budget"),
	)
	t.Repeat(sim.actions())
	sim.settle(t)
	for k, n := range sim.oracle.outcomes {
		outcomes[k] += n
	}
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call":       sim.startRequest,
		"call again": sim.startRequest,
		"repeat":     sim.repeat,
		"repeat 2":   sim.repeat,
		"deliver":    sim.deliverAny,
		"deliver 2":  sim.deliverAny,
		"deliver 3":  sim.deliverAny,
		"deliver 4":  sim.deliverAny,
		"copy":       sim.copyAny,
		"drop":       sim.dropAny,
		"unsent":     sim.failUnsent,
		"unsent 2":   sim.failUnsent,
		"lose":       sim.loseReply,
		"cancel":     sim.cancel,
		"time":       sim.advanceTime,
		"time 2":     sim.advanceTime,
		"pause":      sim.pause,
		"resume":     sim.resume,
		"restart":    sim.restart,
		"publish":    sim.publishAny,
		"configure":  sim.configureAny,
		"gossip":     sim.gossipAny,
	}
}

func (sim *simulation) drawEntry(t *rapid.T) *instance {
	return rapid.SampledFrom(sim.entries).Draw(t, "entry")
}

// startRequest sends a new request, keyed requests with a permit from a
// lookup. It goes to the permit's home or to another entry.
func (sim *simulation) startRequest(t *rapid.T) {
	sim.lastID++
	r := &request{id: sim.lastID, kind: rapid.SampledFrom([]kind{keyedCall, keyedCall, keyedCall, unkeyedCall, idempotentCall}).Draw(t, "kind")}
	r.big = rapid.IntRange(0, 9).Draw(t, "big") == 0
	if r.kind == keyedCall && !sim.makeKey(t, r) {
		return
	}
	sim.requests = append(sim.requests, r)
	sim.try(t, r, 1)
}

func (sim *simulation) makeKey(t *rapid.T, r *request) bool {
	e := sim.drawEntry(t)
	if len(e.view) == 0 || e.paused {
		return false
	}
	m := rapid.SampledFrom(e.view).Draw(t, "home")
	permit := e.node.Permit(e.uptime(sim.now), m)
	switch rapid.IntRange(0, 39).Draw(t, "key") {
	case 0:
		permit = "?" + permit
	case 1:
		permit = permit[:len(permit)-2] + "AA"
	}
	r.key = permit + "/" + strings.Repeat("n", 1+int(r.id%3))
	return true
}

// repeat sends a keyed request again to any entry, under the same try number
// or another; half of the time only a request that was answered with not-run.
// In rare cases a different request reuses the key.
func (sim *simulation) repeat(t *rapid.T) {
	refused := rapid.Bool().Draw(t, "refused")
	keyed := slices.DeleteFunc(slices.Clone(sim.requests), func(r *request) bool {
		_, told := sim.oracle.notRun[r.key]
		return r.kind != keyedCall || refused && !told
	})
	if len(keyed) == 0 {
		return
	}
	r := rapid.SampledFrom(keyed[max(0, len(keyed)-6):]).Draw(t, "request")
	if rapid.IntRange(0, 19).Draw(t, "mistake") == 0 {
		sim.lastID++
		r = &request{id: sim.lastID, key: r.key}
	}
	sim.try(t, r, rapid.IntRange(1, sim.tries[r]+1).Draw(t, "try"))
}

func (sim *simulation) try(t *rapid.T, r *request, n int) {
	sim.tries[r] = max(sim.tries[r], n)
	c := Call{Service: "shop", Method: "POST", Path: "/claim", Key: r.key, Try: n, Digest: r.id}
	switch r.kind {
	case keyedCall:
		c.Path = "/buy"
	case idempotentCall:
		c.Method = "GET"
	}
	c.Caller = fmt.Sprint("caller", r.id%2)
	address := sim.drawEntry(t).address
	if p, err := sim.drawEntry(t).node.signer.ParseKey(r.key); err == nil && rapid.Bool().Draw(t, "direct") {
		address = p.Address
	}
	sim.push(&message{kind: toEntry, address: address, call: c, request: r, try: n})
}

func (sim *simulation) drawMessage(t *rapid.T) int {
	if len(sim.messages) == 0 {
		return -1
	}
	return rapid.IntRange(0, len(sim.messages)-1).Draw(t, "message")
}

func (sim *simulation) takeMessage(i int) *message {
	m := sim.messages[i]
	sim.messages = slices.Delete(sim.messages, i, i+1)
	return m
}

func (sim *simulation) deliverAny(t *rapid.T) {
	i := sim.drawMessage(t)
	if i < 0 {
		return
	}
	m := sim.messages[i]
	behaviour := rapid.SampledFrom([]upstreamBehaviour{succeeds, succeeds, succeeds, fails, sheds}).Draw(t, "upstream")
	clockLag := rapid.SampledFrom([]time.Duration{0, 0, 0, 10 * time.Second, 100 * time.Second}).Draw(t, "lag")
	sim.takeMessage(i)
	if !sim.deliver(t, m, behaviour, clockLag) {
		sim.push(m)
	}
}

// copyAny duplicates a message to an entry. Messages to upstreams are not
// duplicated, because they are sent over TCP.
func (sim *simulation) copyAny(t *rapid.T) {
	i := sim.drawMessage(t)
	if i < 0 || sim.messages[i].kind != toEntry || sim.messages[i].request.kind != keyedCall {
		return
	}
	dup := *sim.messages[i]
	sim.push(&dup)
}

func (sim *simulation) dropAny(t *rapid.T) {
	if i := sim.drawMessage(t); i >= 0 {
		sim.takeMessage(i)
	}
}

// failUnsent ends an attempt before any byte of it was sent.
func (sim *simulation) failUnsent(t *rapid.T) {
	i := sim.drawMessage(t)
	if i < 0 || sim.messages[i].from == nil || sim.messages[i].from.paused || sim.messages[i].kind == toAttempt {
		return
	}
	m := sim.takeMessage(i)
	sim.finish(t, m.from, m.attempt, Result{Err: errConnectionCut}, "")
}

// loseReply ends an attempt after its bytes were sent; they may still arrive
// later.
func (sim *simulation) loseReply(t *rapid.T) {
	i := sim.drawMessage(t)
	if i < 0 || sim.messages[i].from == nil || sim.messages[i].from.paused {
		return
	}
	m := sim.messages[i]
	sim.finish(t, m.from, m.attempt, Result{MayHaveSent: true, Err: errConnectionCut}, "")
}

func (sim *simulation) cancel(t *rapid.T) {
	e := sim.drawEntry(t)
	ids := slices.Sorted(maps.Keys(e.calls))
	ids = slices.DeleteFunc(ids, func(id uint64) bool { return e.calls[id].ended })
	if len(ids) == 0 || e.paused {
		return
	}
	id := rapid.SampledFrom(ids).Draw(t, "call")
	e.calls[id].ended = true
	sim.executeSteps(t, e, e.node.Cancel(e.uptime(sim.now), id, nil))
}

func (sim *simulation) advanceTime(t *rapid.T) {
	sim.advance(t, rapid.SampledFrom([]time.Duration{
		time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond,
		time.Second, 2 * time.Second, 30 * time.Second, 70 * time.Second,
	}).Draw(t, "time"))
}

func (sim *simulation) pause(t *rapid.T) {
	e := sim.drawEntry(t)
	e.paused = !e.paused
}

func (sim *simulation) resume(t *rapid.T) { sim.drawEntry(t).paused = false }

func (sim *simulation) restart(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "rare") > 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.entries)-1).Draw(t, "entry")
	sim.startEntry(i, rapid.SampledFrom([]float64{0.8, 1, 1.25}).Draw(t, "clock"))
	sim.gossip(sim.entries[i], sim.allInstances)
}

func (sim *simulation) publishAny(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
		sim.publish(rapid.IntRange(0, 5).Draw(t, "service") > 0, rapid.Bool().Draw(t, "idempotent"))
	}
}

func (sim *simulation) configureAny(t *rapid.T) {
	e := sim.drawEntry(t)
	i := rapid.IntRange(0, len(sim.docs)-1).Draw(t, "revision")
	if !e.paused {
		e.node.Configure(e.uptime(sim.now), uint64(i+1), sim.docs[i])
	}
}

// gossipAny gives an entry a view of the fleet that may lack live entries and
// contain dead ones.
func (sim *simulation) gossipAny(t *rapid.T) {
	e := sim.drawEntry(t)
	var visible []*instance
	for _, other := range sim.allInstances {
		if rapid.Bool().Draw(t, "seen") {
			visible = append(visible, other)
		}
	}
	if !e.paused && len(visible) > 0 {
		sim.gossip(e, visible)
	}
}

// settle delivers all messages and advances time until every call must have
// ended, then checks that every call was answered and that nothing is left
// allocated.
func (sim *simulation) settle(t *rapid.T) {
	for _, e := range sim.entries {
		e.paused = false
	}
	for len(sim.messages) > 0 {
		sim.deliver(t, sim.takeMessage(0), succeeds, 0)
	}
	for range 3 {
		sim.advance(t, 40*time.Second)
	}
	for _, e := range sim.entries {
		if n := len(e.node.calls); n > 0 {
			t.Fatalf("%d calls never ended at %s", n, e.id)
		}
		e.checkReleased(t)
		for id, c := range e.calls {
			if !c.ended {
				t.Fatalf("call %d was never answered at %s", id, e.id)
			}
		}
	}
}

// checkReleased checks that an entry without calls has no attempts, limiter
// slots, queue places or requests in flight.
func (e *instance) checkReleased(t *rapid.T) {
	if n := len(e.node.attempts); n > 0 {
		t.Fatalf("%s holds %d attempts", e.id, n)
	}
	for _, s := range slices.Concat(e.node.ordered, e.node.retired) {
		if s.limiter.Running()+s.limiter.Waiting() > 0 {
			t.Fatalf("%s holds %d slots and %d places", e.id, s.limiter.Running(), s.limiter.Waiting())
		}
		for _, u := range []string{"u0", "u1", "u2"} {
			if k := s.pool.InFlight(u, balance.Short) + s.pool.InFlight(u, balance.Long); k != 0 {
				t.Fatalf("%s has %d requests to %s", e.id, k, u)
			}
		}
	}
}
