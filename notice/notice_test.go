package notice

import (
	"math"
	"testing"
	"time"
)

const second = time.Second

// Whatever an upstream sends as Retry-After has a defined meaning, and none takes it out for
// longer than MaxPause.
func TestRetryAfterValues(t *testing.T) {
	wall := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, c := range []struct {
		name   string
		values []string
		want   time.Duration
	}{
		{"none", nil, 0},
		{"whole seconds", []string{"3"}, 3 * second},
		{"fraction", []string{"0.25"}, 250 * time.Millisecond},
		{"spaces", []string{" 2 "}, 2 * second},
		{"empty", []string{""}, 0},
		{"zero", []string{"0"}, 0},
		{"negative", []string{"-4"}, 0},
		{"not a number", []string{"NaN"}, 0},
		{"infinite", []string{"Inf"}, MaxPause},
		{"huge", []string{"1e300"}, MaxPause},
		{"beyond any number", []string{"1e999"}, MaxPause},
		{"minus infinite", []string{"-Inf"}, 0},
		{"words", []string{"soon"}, 0},
		{"twice, the longest", []string{"1", "2"}, 2 * second},
		{"one unreadable", []string{"soon", "2"}, 2 * second},
		{"date", []string{"Fri, 02 Jan 2026 03:04:09 GMT"}, 4 * second},
		{"date that has passed", []string{"Fri, 02 Jan 2026 03:04:01 GMT"}, 0},
		{"date far away", []string{"Fri, 02 Jan 2099 03:04:01 GMT"}, MaxPause},
	} {
		var values [][]byte
		for _, v := range c.values {
			values = append(values, []byte(v))
		}
		if got := ParseRetryAfter(values, wall); got != c.want {
			t.Errorf("%s: %q is %v, want %v", c.name, c.values, got, c.want)
		}
	}
}

// A pause of one reply ended with the next one, which asked for a shorter one.
func TestLongestPauseHolds(t *testing.T) {
	var s State
	if c := s.Observe(second, Notice{Pause: 5 * second}, 0); c != Paused {
		t.Errorf("change %d", c)
	}
	if c := s.Observe(2*second, Notice{Pause: second}, 0); c != None {
		t.Errorf("change %d by a shorter pause", c)
	}
	s.Observe(2*second, Notice{}, 0) // a reply to a request sent before
	for _, now := range []time.Duration{second, 3 * second, 6*second - 1} {
		if a := s.Check(now); a.Admitted || a.Due != 6*second {
			t.Errorf("at %v: %+v", now, a)
		}
	}
	if !s.Check(6 * second).Admitted {
		t.Error("not admitted at the end")
	}
}

// Instances that were told the same end must not return at the same instant, nor before it.
func TestReturnIsSpread(t *testing.T) {
	var first, last State
	first.Observe(0, Notice{Pause: 4 * second}, 0)
	last.Observe(0, Notice{Pause: 4 * second}, 0.999)
	if a, b := first.Check(1).Due, last.Check(1).Due; a != 4*second || b < a+300*time.Millisecond || b > a+400*time.Millisecond {
		t.Errorf("return at %v and %v", a, b)
	}
}

// After a pause one request at a time goes to the upstream until it has answered one.
func TestTrialAfterPause(t *testing.T) {
	var s State
	s.Observe(0, Notice{Pause: second}, 0)
	now := second
	if !s.Take(now) || s.Take(now) {
		t.Fatal("not one request after the pause")
	}
	s.Return()
	if !s.Take(now) {
		t.Error("a request that was not sent counts")
	}
	if now += trialTimeout; !s.Take(now) || s.Take(now) {
		t.Error("not one more after a trial without an answer")
	}
	s.Observe(now, Notice{Reply: Health}, 0)
	if s.Take(now) {
		t.Error("a health reply ends the trial")
	}
	if c := s.Observe(now, Notice{Reply: Refusal}, 0); c != None || !s.Take(now) || s.Take(now) {
		t.Error("not one more after a refusal")
	}
	if c := s.Observe(now, Notice{}, 0); c != Resumed || !s.Take(now) || !s.Take(now) {
		t.Error("not open after an answer")
	}
	s.Observe(now, Notice{Pause: second}, 0)
	if s.Take(now) || !s.Take(now+second) || s.Take(now+second) {
		t.Error("no trial after the second pause")
	}
}

// An upstream that left was used again since a later reply did not say so.
func TestLeavingIsFinal(t *testing.T) {
	var s State
	if c := s.Observe(0, Notice{Leaving: true, Pause: second}, 0); c != Left {
		t.Errorf("change %d", c)
	}
	if c := s.Observe(second, Notice{}, 0); c != Resumed && c != None {
		t.Errorf("change %d", c)
	}
	if !s.Blocked(time.Hour) {
		t.Error("an admitted request may still be sent")
	}
	if a := s.Check(time.Hour); a.Admitted || !a.Leaving || s.Take(time.Hour) {
		t.Errorf("admitted: %+v", a)
	}
	if c := s.Observe(time.Hour, Notice{Leaving: true}, 0); c != None {
		t.Error("reported twice")
	}
}

// No header may panic, or ask for a negative or too long pause.
func FuzzRetryAfter(f *testing.F) {
	for _, s := range []string{"1", "0.5", "-1", "NaN", "1e999", "Fri, 02 Jan 2026 03:04:09 GMT", ""} {
		f.Add(s, int64(1_700_000_000))
	}
	f.Fuzz(func(t *testing.T, text string, unix int64) {
		unix = max(0, min(unix, math.MaxInt32))
		if d := ParseRetryAfter([][]byte{[]byte(text)}, time.Unix(unix, 0)); d < 0 || d > MaxPause {
			t.Errorf("%q is %v", text, d)
		}
	})
}
