package pick

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// An upstream that lost requests was picked again at once, or avoided for ever.
func TestSilenceBackoff(t *testing.T) {
	var s Silence
	now := time.Minute
	for i, want := range []time.Duration{250 * ms, 500 * ms, time.Second, 2 * time.Second, 2 * time.Second} {
		s.RecordLoss(now, now-100*ms)
		s.RecordLoss(now, now-200*ms) // in flight together with the first
		if !s.Active(now+want-1) || s.Active(now+want) {
			t.Errorf("loss %d: the backoff is not %v", i, want)
		}
		now += time.Minute
	}
	s.RecordLoss(now, now-ms)
	s.RecordReply()
	if s.Active(now) {
		t.Error("a reply did not end the backoff")
	}
	s.RecordLoss(now, now-ms)
	if s.Active(now + 250*ms) {
		t.Error("a reply did not end the growth of the backoff")
	}
}

// Services that lose nothing, or no longer do, were served as if they lost requests.
func TestSilentLossesAreForgotten(t *testing.T) {
	var l SilentLosses
	if l.Recent(time.Minute, "s") {
		t.Error("recent without a loss")
	}
	l.Record(time.Minute, "s")
	if !l.Recent(time.Minute+silentLossMemory-1, "s") || l.Recent(time.Minute, "other") {
		t.Error("the loss is not known, or known of another service")
	}
	if l.Recent(time.Minute+silentLossMemory, "s") {
		t.Error("the loss is never forgotten")
	}
}

// An attempt that was only slow, or given up early, counted as lost.
func TestIsSilentLoss(t *testing.T) {
	for _, c := range []struct {
		silent, expected, timeout time.Duration
		want                      bool
	}{
		{299 * ms, 10 * ms, time.Second, false},
		{300 * ms, 10 * ms, time.Second, true},
		{599 * ms, 200 * ms, time.Second, false},
		{600 * ms, 200 * ms, time.Second, true},
		{890 * ms, 500 * ms, time.Second, false},
		{900 * ms, 500 * ms, time.Second, true},
	} {
		if got := IsSilentLoss(c.silent, c.expected, c.timeout); got != c.want {
			t.Errorf("silent for %v, expected %v, timeout %v: %v", c.silent, c.expected, c.timeout, got)
		}
	}
}

// A request went to an upstream that reported no free slot while others were known.
func TestMayQueue(t *testing.T) {
	full, free := &Report{Running: 6, Slots: 6}, &Report{Running: 5, Slots: 6}
	for _, c := range []struct {
		r                       *Report
		sentSince, known, total int
		want                    bool
	}{
		{full, 0, 2, 3, false},
		{full, 0, 1, 3, true},  // nothing is known of the others
		{full, 0, 1, 1, false}, // there are no others
		{free, 0, 2, 3, true},
		{free, 1, 2, 3, false}, // the last slot is taken meanwhile
		{nil, 0, 2, 3, true},
	} {
		if got := MayQueue(c.r, c.sentSince, c.known, c.total); got != c.want {
			t.Errorf("%+v, %d sent since, %d of %d known: %v", c.r, c.sentSince, c.known, c.total, got)
		}
	}
}
