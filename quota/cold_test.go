package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testOvershoot = 1.5
	testSlack     = 8
)

func coldLimit(perSecond float64) ColdLimit {
	return ColdLimit{PerSecond: perSecond, Overshoot: testOvershoot, Slack: testSlack}
}

// coldInstance is an instance that sends to one cold upstream, in simulated time.
type coldInstance struct {
	address, dataCentre string
	view                ColdView
	bucket              ColdBucket
}

// coldFleet is a fleet in simulated time, with the times of the requests to one upstream.
type coldFleet struct {
	instances []*coldInstance
	upstream  string
	home      string // its data centre
	limit     ColdLimit
	sent      []time.Duration
	rng       *rand.Rand
}

func newColdFleet(size, centres int, perSecond float64, home int, seed uint64) *coldFleet {
	f := &coldFleet{upstream: "upstream", home: fmt.Sprint("dc-", home), limit: coldLimit(perSecond), rng: rand.New(rand.NewPCG(seed, 3))}
	for i := range size {
		dc := min(i%centres, f.rng.IntN(centres+1)) // of uneven size
		f.instances = append(f.instances, &coldInstance{address: fmt.Sprintf("10.%d.0.%d:80", dc, i), dataCentre: fmt.Sprint("dc-", dc)})
	}
	return f
}

// viewOf returns what in sees: all that see reports, and itself.
func (f *coldFleet) viewOf(in *coldInstance, see func(*coldInstance) bool) Fleet {
	v := Fleet{Self: in.address, DataCentre: in.dataCentre, Live: map[string]int{}}
	for _, o := range f.instances {
		if o != in && !see(o) {
			continue
		}
		v.Live[o.dataCentre]++
		if o.dataCentre == in.dataCentre {
			v.Usable = append(v.Usable, o.address)
		}
	}
	return v
}

func everyone(*coldInstance) bool { return true }

// send makes all instances send whenever they may, each asking at the given interval at
// times of its own.
func (f *coldFleet) send(from, to, interval time.Duration) {
	for _, in := range f.instances {
		for now := from + time.Duration(f.rng.Int64N(int64(interval))); now < to; now += interval {
			f.ask(now, in)
		}
	}
}

func (f *coldFleet) ask(now time.Duration, in *coldInstance) bool {
	if !in.bucket.Take(now, &in.view, f.upstream, f.home, f.limit) {
		return false
	}
	f.sent = append(f.sent, now)
	return true
}

// checkBound fails the test if any second holds too many requests.
func (f *coldFleet) checkBound(t *testing.T, what string) {
	t.Helper()
	slices.Sort(f.sent)
	allowed, first := f.limit.PerSecond*testOvershoot+testSlack, 0
	for i, at := range f.sent {
		for f.sent[first] <= at-time.Second {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			t.Fatalf("%s, %v a second: %d requests in the second before %v, allowed %.1f", what, f.limit.PerSecond, n, at, allowed)
		}
	}
}

var (
	coldRates = []float64{0.5, 1, 2.3, 3.6, 7, 20, 50}
	coldSizes = []int{1, 2, 3, 5, 9, 19, 47, 96, 471}
)

// forEachFleet calls fn with fleets of all sizes and rates.
func forEachFleet(fn func(f *coldFleet, what string)) {
	for _, rate := range coldRates {
		for _, size := range coldSizes {
			for centres := 1; centres <= 5; centres++ {
				f := newColdFleet(size, centres, rate, int(rate*10)%centres, uint64(size*centres))
				fn(f, fmt.Sprint(size, " instances in ", centres, " data centres"))
			}
		}
	}
}

// Holders that were idle for long all sent at once, and instances whose views of the fleet
// differ by an instance sent beyond the parts of the others.
func TestColdLimitHoldsWhileViewsDiffer(t *testing.T) {
	forEachFleet(func(f *coldFleet, what string) {
		for _, in := range f.instances {
			missing := f.instances[f.rng.IntN(len(f.instances))]
			v := f.viewOf(in, func(o *coldInstance) bool { return o != missing })
			if f.rng.IntN(3) == 0 { // one that is gone
				v = f.viewOf(in, everyone)
				if v.Live[in.dataCentre]++; f.rng.IntN(2) == 0 {
					v.Usable = append(v.Usable, "10.9.9.9:80")
				}
			}
			in.view.Set(0, v)
		}
		f.send(coldStartTime, coldStartTime+50*time.Millisecond, 50*time.Millisecond) // parts begin
		f.sent = nil
		f.send(10*time.Minute, 10*time.Minute+3*time.Second, 30*time.Millisecond)
		f.checkBound(t, what)
	})
}

// The parts add up to the budget at most if each instance misses the one that ranks before
// it, for all budgets.
func TestColdPartsWhileRanksDiffer(t *testing.T) {
	for budget := minColdBudget; budget <= 90; budget++ {
		for n := 1; n <= 120; n++ {
			sum := 0
			for rank := range n {
				sum += max(coldPart(budget, n, rank), coldPart(budget, n+1, rank))
				if n > 1 {
					sum -= coldPart(budget, n, rank)
					sum += max(coldPart(budget, n, rank), coldPart(budget, n-1, max(0, rank-1)))
				}
			}
			if sum > budget {
				t.Fatalf("budget %d, %d instances: %d", budget, n, sum)
			}
		}
	}
}

// A fleet that was cut into its data centres, or in halves, sent the upstream's rate several
// times over.
func TestColdLimitHoldsInPartition(t *testing.T) {
	forEachFleet(func(f *coldFleet, what string) {
		for i, in := range f.instances {
			in.view.Set(0, f.viewOf(in, everyone))
			cut := time.Minute
			f.ask(cut, in)
			in.view.Set(cut, f.viewOf(in, func(o *coldInstance) bool {
				return o.dataCentre == in.dataCentre && slices.Index(f.instances, o)%2 == i%2
			}))
		}
		f.sent = nil
		f.send(time.Minute+5*time.Second, time.Minute+15*time.Second, 100*time.Millisecond)
		f.send(time.Minute+90*time.Second, time.Minute+94*time.Second, 50*time.Millisecond)
		f.checkBound(t, what)
	})
}

// All instances that started at once took themselves for the only one.
func TestColdLimitHoldsAtStart(t *testing.T) {
	for _, size := range []int{2, 19, 150} {
		for seed := range uint64(10) {
			f := newColdFleet(size, 3, 5, 0, seed)
			known := map[*coldInstance]time.Duration{} // when the others have heard of it
			for _, in := range f.instances {
				known[in] = time.Duration(f.rng.Int64N(int64(2500 * time.Millisecond)))
			}
			for now := time.Duration(0); now < 15*time.Second; now += 50 * time.Millisecond {
				for _, in := range f.instances {
					if now < known[in]-500*time.Millisecond {
						continue // not started
					}
					if now < 3*time.Second && f.rng.IntN(4) == 0 || now == 3*time.Second {
						in.view.Set(now, f.viewOf(in, func(o *coldInstance) bool { return now >= known[o] }))
					}
					f.ask(now, in)
				}
			}
			f.checkBound(t, fmt.Sprint(size, " instances"))
			if first := f.sent[0]; first < coldSettleTime || first > 6*time.Second {
				t.Errorf("%d instances: first request after %v", size, first)
			}
		}
	}
}

// A view younger than two seconds, or that of an instance which has met no other yet, gave
// a part; so did that of an instance that callers must not use.
func TestColdViewThatHoldsNothing(t *testing.T) {
	self := Fleet{Self: "a", DataCentre: "dc-0", Usable: []string{"a"}, Live: map[string]int{"dc-0": 1}}
	two := Fleet{Self: "a", DataCentre: "dc-0", Usable: []string{"a", "b"}, Live: map[string]int{"dc-0": 2}}
	notReady := Fleet{Self: "a", DataCentre: "dc-0", Usable: []string{"b"}, Live: map[string]int{"dc-0": 2}}
	for _, c := range []struct {
		what string
		view Fleet
		age  time.Duration
		held bool
	}{
		{"young", two, coldSettleTime - 1, false},
		{"settled", two, coldSettleTime, true},
		{"alone", self, coldStartTime - 1, false},
		{"alone for long", self, coldStartTime, true},
		{"not usable", notReady, time.Minute, false},
	} {
		var v ColdView
		var b ColdBucket
		v.Set(time.Hour, c.view)
		b.Check(time.Hour, &v, "u", "dc-0", coldLimit(5))
		if a := b.Check(time.Hour+c.age, &v, "u", "dc-0", coldLimit(5)); a.Held != c.held {
			t.Errorf("%s: %+v", c.what, a)
		}
	}
	var growing ColdView
	growing.Set(0, self)
	growing.Set(coldSettleTime, two)
	for at, held := range map[time.Duration]bool{coldSettleTime + coldQuietTime - 1: false, coldSettleTime + coldQuietTime: true} {
		var b ColdBucket
		if a := b.Check(at, &growing, "u", "dc-0", coldLimit(5)); a.Held != held {
			t.Errorf("%v after an instance was added: %+v", at-coldSettleTime, a)
		}
	}
	var farUnknown ColdView // of the upstream's data centre, as at a start
	farUnknown.Set(0, two)
	for at, held := range map[time.Duration]bool{standInDelay - 1: false, standInDelay: true} {
		var b ColdBucket
		if a := b.Check(at, &farUnknown, "u", "dc-1", coldLimit(5)); a.Held != held {
			t.Errorf("%v after the start, of an unknown data centre: %+v", at, a)
		}
	}
	var none ColdView
	var b ColdBucket
	if b.Take(time.Hour, &none, "u", "dc-0", coldLimit(5)) {
		t.Error("admitted without a view")
	}
}

// Of the allowed rate, much was left unused, or the average was above it. The data centres
// with calls for the upstream are its own, or all if that has no instance.
func TestColdRateIsUsed(t *testing.T) {
	const settled, span = 30 * time.Second, 40 * time.Second
	for _, rate := range []float64{2, 3.6, 5.2, 7} {
		for _, size := range coldSizes {
			for centres := 1; centres <= 5; centres++ {
				f := newColdFleet(size, centres, rate, 0, 7)
				near := 0
				for _, in := range f.instances {
					in.view.Set(0, f.viewOf(in, everyone))
					if in.dataCentre == f.home {
						near++
					}
				}
				f.send(settled, settled+span, 50*time.Millisecond)
				least := 0.9
				if near < 3 && centres > 1 {
					least = 0.7 // a request of the budget stays unused for each of few holders
				}
				if got := float64(len(f.sent)) / span.Seconds() / rate; got < least || got > 1.05 {
					t.Errorf("%d instances, %d in %d data centres: %.2f of %v a second", size, near, centres, got, rate)
				}
			}
		}
	}
}

// An upstream whose data centre has no instance got no request, or got none for long after
// that has lost its last one.
func TestColdUpstreamOfDataCentreWithoutInstances(t *testing.T) {
	f := newColdFleet(40, 4, 5, 0, 3)
	for _, in := range f.instances {
		in.view.Set(0, f.viewOf(in, everyone))
	}
	var alive []*coldInstance
	lost := time.Minute
	for _, in := range f.instances {
		if in.dataCentre != f.home {
			in.view.Set(lost, f.viewOf(in, func(o *coldInstance) bool { return o.dataCentre != f.home }))
			alive = append(alive, in)
		}
	}
	f.instances = alive
	f.send(lost, lost+standInDelay-time.Millisecond, 25*time.Millisecond)
	if len(f.sent) > 0 {
		t.Errorf("%d requests before the other data centre stands in", len(f.sent))
	}
	f.send(lost+standInDelay, lost+standInDelay+20*time.Second, 25*time.Millisecond)
	f.checkBound(t, "standing in")
	if got := float64(len(f.sent)) / 20; got < 0.7*f.limit.PerSecond {
		t.Errorf("%.1f requests a second", got)
	}
}

// A request that was not sent used up the part, or giving it back allowed two in the time
// of one.
func TestColdBucketReturn(t *testing.T) {
	var v ColdView
	v.Set(0, Fleet{Self: "a", DataCentre: "dc-0", Usable: []string{"a"}, Live: map[string]int{"dc-0": 1}})
	limit := ColdLimit{PerSecond: 5, Overshoot: 1, Slack: 0} // a part of 2 in each window
	take := func(b *ColdBucket, at time.Duration) bool { return b.Take(at, &v, "u", "dc-0", limit) }
	var b ColdBucket
	take(&b, time.Minute)
	start := 2 * time.Minute
	n := 0
	for take(&b, start) {
		n++
	}
	if n != 2 {
		t.Fatalf("a part of %d, want 2", n)
	}
	b.Return(start)
	if !take(&b, start) {
		t.Error("a request that was not sent still counts")
	}
	b.Return(start - 2*coldWindow) // no longer counted
	if take(&b, start+time.Millisecond) {
		t.Error("a late return gave back another request")
	}
}

// Where no limit is set, nothing is held back.
func TestNoColdLimit(t *testing.T) {
	var v ColdView
	var b ColdBucket
	for range 100 {
		if !b.Take(0, &v, "u", "dc-0", ColdLimit{Overshoot: testOvershoot, Slack: testSlack}) {
			t.Fatal("held back")
		}
	}
}

// The upstreams of a data centre that all return cold at once got the parts of all holders
// at that moment, or one of them got nothing for 4 s.
func TestDataCentreBackCold(t *testing.T) {
	for i, rate := range []float64{3.6, 5, 7} {
		for upstream := range 20 {
			f := newColdFleet(96, 1+i, rate, 0, uint64(upstream))
			f.upstream = fmt.Sprint("upstream-", upstream)
			for _, in := range f.instances {
				in.view.Set(0, f.viewOf(in, everyone))
			}
			f.send(time.Minute, time.Minute+8*time.Second, 50*time.Millisecond)
			f.checkBound(t, f.upstream)
			first := 0
			for first < len(f.sent) && f.sent[first] < time.Minute+time.Second {
				first++
			}
			if float64(first) > math.Ceil(2*rate) || len(f.sent) == 0 || f.sent[0] > time.Minute+4*time.Second {
				t.Errorf("%s, %v a second: %d requests in the first second, the first of all after %v", f.upstream, rate, first, f.sent[0]-time.Minute)
			}
		}
	}
}
