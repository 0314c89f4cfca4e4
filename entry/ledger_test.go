package entry

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/attempt"
)

// request is what a caller asks for. Repeats of a keyed call are the same
// request; another request under the same key is a caller's mistake.
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
		return fmt.Sprint(r.id, strings.Repeat(".", attempt.MaxReply))
	}
	return fmt.Sprint("reply to ", r.id)
}

// ledger is the oracle: what ran at the upstreams, and what callers were told.
type ledger struct {
	runs map[string]int
	// notRun is the highest try that was told NotRun.
	notRun map[string]int
	seen   map[string]int
}

func newLedger() *ledger {
	return &ledger{runs: map[string]int{}, notRun: map[string]int{}, seen: map[string]int{}}
}

// run records that an upstream ran the request, sent for the caller's try.
func (l *ledger) run(t *rapid.T, r *request, try int) {
	id := r.identity()
	l.runs[id]++
	if r.kind != idempotentCall && l.runs[id] > 1 {
		t.Fatalf("%s ran %d times", id, l.runs[id])
	}
	if told, ok := l.notRun[id]; ok && try <= told {
		t.Fatalf("%s ran under try %d after try %d was told not-run", id, try, told)
	}
}

// told records the answer to a caller's try.
func (l *ledger) told(t *rapid.T, r *request, try int, s Step, body string) {
	id := r.identity()
	l.seen[s.Outcome.String()+" "+string(s.Reason)]++
	switch s.Outcome {
	case attempt.Answered:
		if body != r.body() {
			t.Fatalf("%s was answered with %.20q, want %.20q", id, body, r.body())
		}
		return
	case attempt.NotRun:
		if l.runs[id] > 0 {
			t.Fatalf("%s was told not-run (%s) after it ran", id, s.Reason)
		}
		l.notRun[id] = max(l.notRun[id], try)
	case attempt.Unknown:
	default:
		t.Fatalf("%s was told no outcome", id)
	}
	if s.Reason.Remedy() == "" || !s.Reason.Allows(s.Outcome) {
		t.Fatalf("reason %q has no remedy, or is not for %s", s.Reason, s.Outcome)
	}
}
