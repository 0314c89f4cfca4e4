package entry

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/attempt"
)

// request is a caller's request. Repeats of a keyed call are the same request;
// another request with the same key is an error of the caller.
type request struct {
	id   uint64
	key  string
	kind kind
	big  bool
}

type kind int

const (
	keyedCall kind = iota
	unkeyedCall
	idempotentCall
)

func (r *request) identity() string {
	if r.kind == keyedCall {
		return r.key
	}
	return fmt.Sprint("request ", r.id)
}

func (r *request) body() string {
	if r.big {
		return fmt.Sprint(r.id, strings.Repeat(".", attempt.MaxReplyBytes))
	}
	return fmt.Sprint("reply to ", r.id)
}

// oracle records what ran at the upstreams and what callers were told, and
// fails the test if the two contradict each other.
type oracle struct {
	runs map[string]int
	// notRun is the highest try of each request that was answered with NotRun.
	notRun map[string]int
	// outcomes counts the answers by outcome and reason.
	outcomes map[string]int
}

func newOracle() *oracle {
	return &oracle{runs: map[string]int{}, notRun: map[string]int{}, outcomes: map[string]int{}}
}

// recordRun records that an upstream ran the request as the given try of the
// caller.
func (o *oracle) recordRun(t *rapid.T, r *request, try int) {
	id := r.identity()
	o.runs[id]++
	if r.kind != idempotentCall && o.runs[id] > 1 {
		t.Fatalf("%s ran %d times", id, o.runs[id])
	}
	if told, ok := o.notRun[id]; ok && try <= told {
		t.Fatalf("%s ran under try %d after try %d was told not-run", id, try, told)
	}
}

// recordAnswer records and checks the answer to a try of the caller.
func (o *oracle) recordAnswer(t *rapid.T, r *request, try int, s Step, body string) {
	id := r.identity()
	o.outcomes[s.Outcome.String()+" "+string(s.Reason)]++
	switch s.Outcome {
	case attempt.Answered:
		if body != r.body() {
			t.Fatalf("%s was answered with %.20q, want %.20q", id, body, r.body())
		}
		return
	case attempt.NotRun:
		if o.runs[id] > 0 {
			t.Fatalf("%s was told not-run (%s) after it ran", id, s.Reason)
		}
		o.notRun[id] = max(o.notRun[id], try)
	case attempt.Unknown:
	default:
		t.Fatalf("%s was told no outcome", id)
	}
	if s.Reason.Remedy() == "" || !s.Reason.Allows(s.Outcome) {
		t.Fatalf("reason %q has no remedy, or is not for %s", s.Reason, s.Outcome)
	}
}
