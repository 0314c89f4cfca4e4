package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

var job = Job{Work: 100 * time.Millisecond, FullFactor: 1, MeanPace: 2, FailureCost: 400 * time.Millisecond}

func at(running, waiting int, pace float64) Candidate {
	return Candidate{Report: &Report{Running: running, Waiting: waiting, Slots: 6, Pace: pace}}
}

// TestDelayIsMonotonic checks that more requests ahead, a slower pace, a longer
// round trip or a cold start never lower the estimated delay.
func TestDelayIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := at(rapid.IntRange(0, 8).Draw(t, "running"), rapid.IntRange(0, 20).Draw(t, "waiting"), rapid.Float64Range(0.5, 8).Draw(t, "pace"))
		d := job.Delay(c)
		more := c
		r := *c.Report
		switch rapid.IntRange(0, 5).Draw(t, "what") {
		case 0:
			r.Running++
		case 1:
			r.Waiting++
		case 2:
			r.Pace++
		case 3:
			more.SentSince++
		case 4:
			more.Cold = true
		case 5:
			more.Distance += time.Millisecond
		}
		more.Report = &r
		if job.Delay(more) < d {
			t.Fatalf("delay of %+v is %v, of %+v only %v", *c.Report, d, r, job.Delay(more))
		}
	})
}

func TestDelayOfKnownCases(t *testing.T) {
	if d := job.Delay(at(0, 0, 1)); d != job.Work {
		t.Errorf("delay at an idle upstream: %v", d)
	}
	if d := job.Delay(at(0, 0, 5)); d != 5*job.Work {
		t.Errorf("delay at a slow upstream: %v", d)
	}
	if idle, full := job.Delay(at(0, 0, 1)), job.Delay(at(6, 6, 1)); full < 3*idle {
		t.Errorf("delay behind one queued request per slot: %v", full)
	}
	if d := job.Delay(Candidate{}); d <= job.Delay(at(6, 0, 1)) {
		t.Errorf("delay at an upstream that did not answer: %v", d)
	}
}

// TestFailureRate checks that failures raise the rate within a few requests and
// that the rate recovers after 8 half-lives.
func TestFailureRate(t *testing.T) {
	var e Evidence
	for range 4 {
		e.Record(time.Second, true, 1)
	}
	if r := e.FailureRate(time.Second); r < 0.6 {
		t.Errorf("rate after four failures: %.2f", r)
	}
	if r := e.FailureRate(time.Second + 8*failureHalfLife); r > 0.05 {
		t.Errorf("rate after 8 half-lives: %.2f", r)
	}
}

// TestFullFactorAdaptsAndDecays checks that six requests of each kind suffice to
// learn whether nearly full upstreams are slower, and that the result decays.
func TestFullFactorAdaptsAndDecays(t *testing.T) {
	var slow, same Fullness
	for i := range 6 {
		now := time.Duration(i) * 100 * time.Millisecond
		slow.Add(now, 1, false)
		slow.Add(now, 1.7, true)
		same.Add(now, 1.1, false)
		same.Add(now, 1.1, true)
	}
	nearly := &Report{Running: 4, Slots: 6, Pace: 1}
	if slow.Room(time.Second, nearly, 0) || !slow.Room(time.Second, nearly, -1) {
		t.Errorf("room at 5 of 6 slots with slow requests there, or none at 4: factor %.2f", slow.Factor(time.Second))
	}
	if !same.Room(time.Second, nearly, 0) || same.Room(time.Second, nearly, 2) {
		t.Errorf("no room at 5 of 6 slots with equal times, or room without a free slot: factor %.2f", same.Factor(time.Second))
	}
	if !slow.Room(time.Minute, nearly, 0) {
		t.Error("a learned factor does not decay within a minute")
	}
}

// TestLastSlotIsUsedWhileItRaisesThroughput guards against refusing callers at a peak while
// every second slot is free: at upstreams of two slots, where requests take 1.7 times as
// long with both in use, two slots serve more than one. Of three slots, they serve less.
func TestLastSlotIsUsedWhileItRaisesThroughput(t *testing.T) {
	var slow Fullness
	for i := range 20 {
		now := time.Duration(i) * 100 * time.Millisecond
		slow.Add(now, 1, false)
		slow.Add(now, 1.7, true)
	}
	now := 2 * time.Second
	if !slow.Room(now, &Report{Running: 1, Slots: 2, Pace: 1}, 0) {
		t.Errorf("no room in the second of two slots at factor %.2f", slow.Factor(now))
	}
	if slow.Room(now, &Report{Running: 2, Slots: 2, Pace: 1}, 0) {
		t.Error("room without a free slot")
	}
	if slow.Room(now, &Report{Running: 2, Slots: 3, Pace: 1}, 0) {
		t.Errorf("room in the third of three slots at factor %.2f", slow.Factor(now))
	}
}

// TestProbeBackoffExpires checks the length of the probe backoff after each kind
// of report and after no answer.
func TestProbeBackoffExpires(t *testing.T) {
	var e Evidence
	e.RecordReport(time.Second, &Report{Running: 6, Waiting: 6, Slots: 6}, false, false, 100*time.Millisecond)
	if !e.InBackoff(time.Second+50*time.Millisecond) || e.InBackoff(time.Second+200*time.Millisecond) {
		t.Error("the backoff with one queued request per slot is not about half of the wait")
	}
	e.RecordReport(time.Second, &Report{Running: 2, Slots: 6}, true, false, 100*time.Millisecond)
	if e.InBackoff(time.Second) {
		t.Error("in backoff with free slots")
	}
	e.RecordReport(time.Second, &Report{Running: 2, Slots: 6}, true, true, 100*time.Millisecond)
	if !e.InBackoff(time.Second+slowBackoff/2) || e.InBackoff(time.Second+2*slowBackoff) {
		t.Error("wrong backoff after a report of a slow pace")
	}
	e.RecordNoAnswer(time.Second)
	if !e.InBackoff(time.Second+noAnswerBackoff/2) || e.InBackoff(time.Second+2*noAnswerBackoff) {
		t.Error("wrong backoff after no answer")
	}
}

// TestSlowIsRelativeToService checks that an upstream with a slow pace counts as
// slow only while most upstreams of the service are faster.
func TestSlowIsRelativeToService(t *testing.T) {
	var some, most Paces
	for i := range 200 {
		some.Add(1 + 4*float64(i%3/2))
		most.Add(5 - 4*float64(i%10/9))
	}
	if !some.Slow(5) || some.Slow(1.2) {
		t.Errorf("wrong result with a third of the upstreams slow, mean pace %.2f", some.Mean())
	}
	if most.Slow(5) {
		t.Errorf("an upstream counts as slow although most are, mean pace %.2f", most.Mean())
	}
}

// TestOrder checks that local upstreams with an idle connection come first,
// unless they fail, and that upstreams in probe backoff come last.
func TestOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	about := []Prospect{
		{Local: true, IdleConn: true, FailureRate: 0.01},
		{Local: true, IdleConn: true, InBackoff: true, FailureRate: 0.01},
		{Local: true, IdleConn: true, FailureRate: 0.9},
		{FailureRate: 0.01},
	}
	first := make([]int, len(about))
	for range 1000 {
		got := Order(len(about), func(i int) Prospect { return about[i] }, rng)
		if got[len(got)-1] != 1 {
			t.Fatalf("upstream in backoff not last: %v", got)
		}
		first[got[0]]++
	}
	if first[0] < 990 || first[2] > 5 {
		t.Errorf("counts of first places: %v", first)
	}
}
