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

// More work ahead, a slower pace, a longer way or a cold start never make an
// upstream look better.
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
			t.Fatalf("%+v takes %v, %+v takes %v", *c.Report, d, r, job.Delay(more))
		}
	})
}

func TestDelayOfKnownCases(t *testing.T) {
	if d := job.Delay(at(0, 0, 1)); d != job.Work {
		t.Errorf("idle: %v", d)
	}
	if d := job.Delay(at(0, 0, 5)); d != 5*job.Work {
		t.Errorf("slow: %v", d)
	}
	if idle, full := job.Delay(at(0, 0, 1)), job.Delay(at(6, 6, 1)); full < 3*idle {
		t.Errorf("a queue of a whole turn takes %v", full)
	}
	if d := job.Delay(Candidate{}); d <= job.Delay(at(6, 0, 1)) {
		t.Errorf("a silent upstream takes %v", d)
	}
}

// What fails is seen within a few requests, and forgotten within some seconds.
func TestFailureRate(t *testing.T) {
	var e Evidence
	for range 4 {
		e.Record(time.Second, true, 1)
	}
	if r := e.FailureRate(time.Second); r < 0.6 {
		t.Errorf("after four failures %.2f", r)
	}
	if r := e.FailureRate(time.Second + 8*failureWindow); r > 0.05 {
		t.Errorf("much later %.2f", r)
	}
}

func TestFullnessLearns(t *testing.T) {
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
		t.Errorf("after a few slow ones the factor is %.2f", slow.Factor(time.Second))
	}
	if !same.Room(time.Second, nearly, 0) || same.Room(time.Second, nearly, 2) {
		t.Errorf("with equal ones the factor is %.2f", same.Factor(time.Second))
	}
	if !slow.Room(time.Minute, nearly, 0) {
		t.Error("what was learned is not tried again")
	}
}

func TestCrowdedForAWhile(t *testing.T) {
	var e Evidence
	e.Reported(time.Second, &Report{Running: 6, Waiting: 6, Slots: 6}, false, false, 100*time.Millisecond)
	if !e.Crowded(time.Second+50*time.Millisecond) || e.Crowded(time.Second+200*time.Millisecond) {
		t.Error("a queue of a turn is crowded for about half of it")
	}
	e.Reported(time.Second, &Report{Running: 2, Slots: 6}, true, false, 100*time.Millisecond)
	if e.Crowded(time.Second) {
		t.Error("crowded with slots free")
	}
	e.Reported(time.Second, &Report{Running: 2, Slots: 6}, true, true, 100*time.Millisecond)
	if !e.Crowded(time.Second+slowTrust/2) || e.Crowded(time.Second+2*slowTrust) {
		t.Error("a slow one is left alone for a moment")
	}
	e.Silent(time.Second)
	if !e.Crowded(time.Second+silentTrust/2) || e.Crowded(time.Second+2*silentTrust) {
		t.Error("a silent one is left alone for a moment")
	}
}

// A slow upstream is one that others outpace: where most are slow, none is.
func TestSlowAmongOthers(t *testing.T) {
	var some, most Paces
	for i := range 200 {
		some.Add(1 + 4*float64(i%3/2))
		most.Add(5 - 4*float64(i%10/9))
	}
	if !some.Slow(5) || some.Slow(1.2) {
		t.Errorf("a third slow: mean %.2f", some.Mean())
	}
	if most.Slow(5) {
		t.Errorf("most are slow, mean %.2f, and yet one of them counts as slow", most.Mean())
	}
}

// Near upstreams with an open connection come first, crowded ones last, and
// those that fail lose their place.
func TestOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	about := []Prospect{
		{Near: true, Open: true, FailureRate: 0.01},
		{Near: true, Open: true, Crowded: true, FailureRate: 0.01},
		{Near: true, Open: true, FailureRate: 0.9},
		{FailureRate: 0.01},
	}
	first := make([]int, len(about))
	for range 1000 {
		got := Order(len(about), func(i int) Prospect { return about[i] }, rng)
		if got[len(got)-1] != 1 {
			t.Fatalf("crowded upstream not last: %v", got)
		}
		first[got[0]]++
	}
	if first[0] < 990 || first[2] > 5 {
		t.Errorf("asked first: %v", first)
	}
}
