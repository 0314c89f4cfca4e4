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

// TestAtMostOnce drives several entries through kills, pauses, lost, late and
// repeated messages, expiry, overflow, other configurations and other views.
func TestAtMostOnce(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) { play(t, sound, seen) })
	for _, k := range slices.Sorted(maps.Keys(seen)) {
		t.Logf("%6d %s", seen[k], k)
	}
}

// TestAtMostOnceCatches shows that the machine fails on broken variants.
func TestAtMostOnceCatches(t *testing.T) {
	variants := []struct {
		name   string
		broken broken
		why    string
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
			why := failure(t, func(t *rapid.T) { play(t, v.broken, map[string]int{}) })
			if !regexp.MustCompile(v.why).MatchString(why) {
				t.Fatalf("got %q, want a failure with %q", why, v.why)
			}
			t.Log(why)
		})
	}
}

func play(t *rapid.T, b broken, seen map[string]int) {
	w := newWorld(b,
		rapid.IntRange(2, 3).Draw(t, "entries"),
		rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "keys"),
		rapid.SampledFrom([]float64{-1, 1}).Draw(t, "retry budget"),
	)
	t.Repeat(w.actions())
	w.settle(t)
	for k, n := range w.ledger.seen {
		seen[k] += n
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call":       w.newRequest,
		"call again": w.newRequest,
		"repeat":     w.repeat,
		"repeat 2":   w.repeat,
		"deliver":    w.deliverAny,
		"deliver 2":  w.deliverAny,
		"deliver 3":  w.deliverAny,
		"deliver 4":  w.deliverAny,
		"copy":       w.copyAny,
		"drop":       w.dropAny,
		"unsent":     w.failUnsent,
		"unsent 2":   w.failUnsent,
		"lose":       w.loseReply,
		"cancel":     w.cancel,
		"time":       w.passTime,
		"time 2":     w.passTime,
		"pause":      w.pause,
		"resume":     w.resume,
		"restart":    w.restart,
		"publish":    w.publishAny,
		"configure":  w.configureAny,
		"gossip":     w.gossipAny,
	}
}

func (w *world) entry(t *rapid.T) *instance {
	return rapid.SampledFrom(w.entries).Draw(t, "entry")
}

// newRequest has a caller look up a permit and send a request, to the permit's
// home or to another entry.
func (w *world) newRequest(t *rapid.T) {
	w.last++
	r := &request{id: w.last, kind: rapid.SampledFrom([]kind{keyedCall, keyedCall, keyedCall, unkeyedCall, idempotentCall}).Draw(t, "kind")}
	r.big = rapid.IntRange(0, 9).Draw(t, "big") == 0
	if r.kind == keyedCall && !w.makeKey(t, r) {
		return
	}
	w.requests = append(w.requests, r)
	w.try(t, r, 1)
}

func (w *world) makeKey(t *rapid.T, r *request) bool {
	e := w.entry(t)
	if len(e.view) == 0 || e.paused {
		return false
	}
	m := rapid.SampledFrom(e.view).Draw(t, "home")
	permit := e.node.Permit(e.uptime(w.now), m)
	switch rapid.IntRange(0, 39).Draw(t, "key") {
	case 0:
		permit = "?" + permit
	case 1:
		permit = permit[:len(permit)-2] + "AA"
	}
	r.key = permit + "/" + strings.Repeat("n", 1+int(r.id%3))
	return true
}

// repeat sends a request again, under its number or another, anywhere.
func (w *world) repeat(t *rapid.T) {
	refused := rapid.Bool().Draw(t, "refused")
	keyed := slices.DeleteFunc(slices.Clone(w.requests), func(r *request) bool {
		_, told := w.ledger.notRun[r.key]
		return r.kind != keyedCall || refused && !told
	})
	if len(keyed) == 0 {
		return
	}
	r := rapid.SampledFrom(keyed[max(0, len(keyed)-6):]).Draw(t, "request")
	if rapid.IntRange(0, 19).Draw(t, "mistake") == 0 {
		w.last++
		r = &request{id: w.last, key: r.key}
	}
	w.try(t, r, rapid.IntRange(1, w.tries[r]+1).Draw(t, "try"))
}

func (w *world) try(t *rapid.T, r *request, n int) {
	w.tries[r] = max(w.tries[r], n)
	c := Call{Service: "shop", Method: "POST", Path: "/claim", Key: r.key, Try: n, Digest: r.id}
	switch r.kind {
	case keyedCall:
		c.Path = "/buy"
	case idempotentCall:
		c.Method = "GET"
	}
	c.Caller = fmt.Sprint("caller", r.id%2)
	address := w.entry(t).address
	if p, err := w.entry(t).node.signer.ParseKey(r.key); err == nil && rapid.Bool().Draw(t, "direct") {
		address = p.Address
	}
	w.push(&message{kind: toEntry, address: address, call: c, request: r, try: n})
}

func (w *world) any(t *rapid.T) int {
	if len(w.messages) == 0 {
		return -1
	}
	return rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
}

func (w *world) remove(i int) *message {
	m := w.messages[i]
	w.messages = slices.Delete(w.messages, i, i+1)
	return m
}

func (w *world) deliverAny(t *rapid.T) {
	i := w.any(t)
	if i < 0 {
		return
	}
	m := w.messages[i]
	how := rapid.SampledFrom([]upstreamMood{works, works, works, fails, sheds}).Draw(t, "upstream")
	lag := rapid.SampledFrom([]time.Duration{0, 0, 0, 10 * time.Second, 100 * time.Second}).Draw(t, "lag")
	w.remove(i)
	if !w.deliver(t, m, how, lag) {
		w.push(m)
	}
}

// copyAny repeats a message to an entry; upstreams are reached by TCP.
func (w *world) copyAny(t *rapid.T) {
	i := w.any(t)
	if i < 0 || w.messages[i].kind != toEntry || w.messages[i].request.kind != keyedCall {
		return
	}
	again := *w.messages[i]
	w.push(&again)
}

func (w *world) dropAny(t *rapid.T) {
	if i := w.any(t); i >= 0 {
		w.remove(i)
	}
}

// failUnsent ends an attempt before a byte of it left.
func (w *world) failUnsent(t *rapid.T) {
	i := w.any(t)
	if i < 0 || w.messages[i].from == nil || w.messages[i].from.paused || w.messages[i].kind == toAttempt {
		return
	}
	m := w.remove(i)
	w.finish(t, m.from, m.attempt, Result{Err: errCut}, "")
}

// loseReply ends an attempt after its bytes left; they arrive later or never.
func (w *world) loseReply(t *rapid.T) {
	i := w.any(t)
	if i < 0 || w.messages[i].from == nil || w.messages[i].from.paused {
		return
	}
	m := w.messages[i]
	w.finish(t, m.from, m.attempt, Result{Wrote: true, Err: errCut}, "")
}

func (w *world) cancel(t *rapid.T) {
	e := w.entry(t)
	ids := slices.Sorted(maps.Keys(e.calls))
	ids = slices.DeleteFunc(ids, func(id uint64) bool { return e.calls[id].over })
	if len(ids) == 0 || e.paused {
		return
	}
	id := rapid.SampledFrom(ids).Draw(t, "call")
	e.calls[id].over = true
	w.perform(t, e, e.node.Cancel(e.uptime(w.now), id, nil))
}

func (w *world) passTime(t *rapid.T) {
	w.tick(t, rapid.SampledFrom([]time.Duration{
		time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond,
		time.Second, 2 * time.Second, 30 * time.Second, 70 * time.Second,
	}).Draw(t, "time"))
}

func (w *world) pause(t *rapid.T) {
	e := w.entry(t)
	e.paused = !e.paused
}

func (w *world) resume(t *rapid.T) { w.entry(t).paused = false }

func (w *world) restart(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "rare") > 0 {
		return
	}
	i := rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")
	w.boot(i, rapid.SampledFrom([]float64{0.8, 1, 1.25}).Draw(t, "clock"))
	w.gossip(w.entries[i], w.past)
}

func (w *world) publishAny(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
		w.publish(rapid.IntRange(0, 5).Draw(t, "service") > 0, rapid.Bool().Draw(t, "idempotent"))
	}
}

func (w *world) configureAny(t *rapid.T) {
	e := w.entry(t)
	i := rapid.IntRange(0, len(w.docs)-1).Draw(t, "revision")
	if !e.paused {
		e.node.Configure(e.uptime(w.now), uint64(i+1), w.docs[i])
	}
}

// gossipAny gives an entry a view that may lack entries or hold dead ones.
func (w *world) gossipAny(t *rapid.T) {
	e := w.entry(t)
	var seen []*instance
	for _, other := range w.past {
		if rapid.Bool().Draw(t, "seen") {
			seen = append(seen, other)
		}
	}
	if !e.paused && len(seen) > 0 {
		w.gossip(e, seen)
	}
}

// settle lets everything end, and checks that no call waits for ever.
func (w *world) settle(t *rapid.T) {
	for _, e := range w.entries {
		e.paused = false
	}
	for len(w.messages) > 0 {
		w.deliver(t, w.remove(0), works, 0)
	}
	for range 3 {
		w.tick(t, 40*time.Second)
	}
	for _, e := range w.entries {
		if n := len(e.node.calls); n > 0 {
			t.Fatalf("%d calls never ended at %s", n, e.id)
		}
		e.checkFreed(t)
		for id, c := range e.calls {
			if !c.over {
				t.Fatalf("call %d was never answered at %s", id, e.id)
			}
		}
	}
}

// checkFreed checks that an entry without calls holds nothing for any.
func (e *instance) checkFreed(t *rapid.T) {
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
