package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/config"
)

const (
	crashDigest = 7
	runTime     = 100 * time.Millisecond
)

// crashingCall returns a call whose attempts crash the upstreams.
func crashingCall(id uint64) Call {
	return Call{ID: id, Service: "shop", Method: "GET", Path: "/x", Digest: crashDigest}
}

// playCrash runs a call whose attempts each crash the upstream after runTime, and returns
// the number of attempts, the answer and the time of it.
func playCrash(n *Node, now time.Duration, c Call) (attempts int, answer Step, end time.Duration) {
	steps := n.Start(now, c, nil)
	for len(steps) > 0 {
		s := steps[0]
		if s.Kind != StepSend {
			return attempts, s, now
		}
		attempts++
		began := now
		now += runTime
		steps = n.Finished(now, s.Attempt, Result{MayHaveSent: true, Err: errors.New("broken")}, nil)
		n.Crashed(now, c, s.Upstream, began, now)
	}
	return attempts, answer, now
}

// newQuarantiningNode returns a node that has quarantined the crashing call, and the time.
func newQuarantiningNode() (*Node, time.Duration) {
	n := newNode(8, config.Rules{})
	now := time.Second
	for id := range uint64(10) {
		_, _, now = playCrash(n, now, crashingCall(id+1))
	}
	return n, now + time.Second
}

// A call that crashes the upstreams that run it was sent to one after the other.
func TestCrashingCallReachesFewUpstreams(t *testing.T) {
	n := newNode(8, config.Rules{})
	now, crashed := time.Second, 0
	for id := range uint64(30) {
		attempts, _, end := playCrash(n, now, crashingCall(id+1))
		crashed += attempts
		now = end + 50*time.Millisecond
	}
	if crashed > 4 {
		t.Errorf("%d upstreams crashed", crashed)
	}
	now += time.Second // decided
	_, answer, _ := playCrash(n, now, crashingCall(100))
	if answer.Outcome != attempt.NotRun || answer.Reason != attempt.ReasonQuarantined || answer.RetryAfter < time.Minute {
		t.Errorf("answer %+v", answer)
	}
	other := crashingCall(101)
	other.Digest++
	if s := n.Start(now, other, nil); len(s) != 1 || s[0].Kind != StepSend {
		t.Errorf("another call: %+v", s)
	}
	streamed := crashingCall(102)
	streamed.Streamed = true // its body is not known
	if s := n.Start(now, streamed, nil); len(s) != 1 || s[0].Kind != StepSend {
		t.Errorf("a streamed call: %+v", s)
	}
}

// An answer of any upstream shows that the call is not to blame.
func TestAnsweredCallIsNotQuarantined(t *testing.T) {
	n := newNode(8, config.Rules{})
	now := time.Second
	for i := range uint64(20) {
		began := now
		first := n.Start(now, crashingCall(2*i+1), nil)[0]
		if first.Kind != StepSend {
			t.Fatalf("refused after %d crashes, each with an answer after it: %+v", i, first)
		}
		now += runTime
		second := n.Finished(now, first.Attempt, Result{MayHaveSent: true, Err: errors.New("broken")}, nil)[0]
		n.Crashed(now, crashingCall(2*i+1), first.Upstream, began, now)
		if second.Kind != StepSend { // the retry budget is used up: its caller sends it again
			second = n.Start(now, crashingCall(2*i+2), nil)[0]
		}
		now += runTime
		n.Finished(now, second.Attempt, Result{MayHaveSent: true, Status: 200}, nil)
	}
}

// The credentials are part of what a call asks for: others' answers show nothing.
func TestCallsOfOtherCallersAreNotQuarantined(t *testing.T) {
	n, now := newQuarantiningNode()
	other := crashingCall(100)
	other.CredentialsDigest = 5
	if s := n.Start(now, other, nil); len(s) != 1 || s[0].Kind != StepSend {
		t.Errorf("%+v", s)
	}
	if n.quarantinedFor(now, &call{Call: crashingCall(0)}) == 0 {
		t.Error("the crashing one is not quarantined")
	}
}

// Other entries must know what one has decided, also one that starts later.
func TestDecisionOfAnotherEntryCounts(t *testing.T) {
	n, now := newQuarantiningNode()
	wall := time.Now()
	decisions := n.Quarantined(now, wall)
	if len(decisions) != 1 {
		t.Fatalf("decisions %+v", decisions)
	}
	other := newNode(8, config.Rules{})
	other.MergeQuarantined(0, wall, decisions)
	if attempts, answer, _ := playCrash(other, 0, crashingCall(1)); attempts != 0 || answer.Reason != attempt.ReasonQuarantined {
		t.Errorf("%d attempts, %+v", attempts, answer)
	}
}
