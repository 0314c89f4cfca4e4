package entry

import (
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/config"
)

// startRead starts an idempotent call and returns its first step.
func startRead(t *testing.T, n *Node, now time.Duration, id uint64) Step {
	t.Helper()
	s := n.Start(now, Call{ID: id, Service: "shop", Method: "GET", Path: "/x"}, nil)
	if len(s) != 1 {
		t.Fatalf("call %d: %+v", id, s)
	}
	return s[0]
}

// shedWithPause is the result of an attempt that the upstream refused, asking for a
// pause.
func shedWithPause(pause time.Duration) Result {
	return Result{MayHaveSent: true, Status: 503, Shed: true, RetryAfter: pause}
}

// An upstream that asked for a pause got further requests. If all pause, the caller is
// told until when; after it each gets one request until that is answered.
func TestPausedUpstreamGetsNothing(t *testing.T) {
	const pause = 2 * time.Second
	n := newNode(2, config.Rules{})
	first := startRead(t, n, 0, 1)
	s := n.Finished(0, first.Attempt, shedWithPause(pause), nil)
	if len(s) != 1 || s[0].Kind != StepSend || s[0].Upstream == first.Upstream {
		t.Fatalf("not sent to the other upstream: %+v", s)
	}
	other := s[0]
	n.Finished(0, other.Attempt, Result{MayHaveSent: true, Status: 200}, nil)
	for id := uint64(2); id < 30; id++ {
		now := time.Duration(id) * pause / 60
		step := startRead(t, n, now, id)
		if step.Upstream != other.Upstream {
			t.Fatalf("sent to the paused upstream after %v", now)
		}
		n.Finished(now, step.Attempt, Result{MayHaveSent: true, Status: 200}, nil)
	}

	now := pause / 2
	step := startRead(t, n, now, 100)
	s = n.Finished(now, step.Attempt, shedWithPause(pause), nil)
	if len(s) != 1 || s[0].Kind != StepAnswer || s[0].Outcome != attempt.NotRun {
		t.Fatalf("both pause: %+v", s)
	}
	refused := startRead(t, n, now, 101)
	if refused.Kind != StepAnswer || refused.Reason != attempt.ReasonPaused || refused.RetryAfter < pause/2 || refused.RetryAfter > pause {
		t.Errorf("refused with %+v", refused)
	}

	now = pause + pause/5 // the first one's end, and its part of the spread
	trial := startRead(t, n, now, 102)
	if trial.Kind != StepSend || trial.Upstream != first.Upstream {
		t.Fatalf("after the pause: %+v", trial)
	}
	if step := startRead(t, n, now, 103); step.Kind == StepSend {
		t.Errorf("a second request before the first was answered: %+v", step)
	}
	n.Finished(now, trial.Attempt, Result{MayHaveSent: true, Status: 200}, nil)
	if step := startRead(t, n, now, 104); step.Kind != StepSend {
		t.Errorf("after an answer: %+v", step)
	}
}

// What an upstream said must not concern the next one under its ID at another address,
// and must hold through a change of the configuration.
func TestPauseBelongsToUpstream(t *testing.T) {
	n := newNode(1, config.Rules{})
	step := startRead(t, n, 0, 1)
	n.Finished(0, step.Attempt, shedWithPause(time.Minute), nil)
	n.Configure(0, 2, document(1, config.Rules{}))
	if s := startRead(t, n, 0, 2); s.Reason != attempt.ReasonPaused {
		t.Errorf("after another configuration: %+v", s)
	}
	moved := document(1, config.Rules{})
	moved.Services[0].Upstreams[0].Address = "elsewhere"
	n.Configure(0, 3, moved)
	if s := startRead(t, n, 0, 3); s.Kind != StepSend {
		t.Errorf("at the new address: %+v", s)
	}
}
