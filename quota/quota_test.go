package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The bound on what reaches an upstream in a window, from the operators' rule.
const (
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5
)

// simulatedFleet is a fleet whose instances share limits in simulated time.
type simulatedFleet struct {
	instances []*simulatedInstance
	limits    map[string]float64
	sent      map[string][]time.Duration
	rng       *rand.Rand
}

type simulatedInstance struct {
	address, dataCentre string
	down                bool
	view                FleetView
	buckets             map[string]*Bucket
}

// newSimulatedFleet returns a fleet of size instances in data centres of uneven
// size, and upstreams with the limits.
func newSimulatedFleet(size, dataCentres int, limits []float64, seed uint64) *simulatedFleet {
	s := &simulatedFleet{limits: map[string]float64{}, sent: map[string][]time.Duration{}, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range size {
		dc := min(i%dataCentres, s.rng.IntN(dataCentres+1))
		s.instances = append(s.instances, &simulatedInstance{
			address: fmt.Sprintf("10.%d.0.%d:80", dc, i), dataCentre: fmt.Sprint("dc-", dc), buckets: map[string]*Bucket{},
		})
	}
	for i, l := range limits {
		s.limits[fmt.Sprint("upstream-", i)] = l
	}
	return s
}

// viewFor returns what an instance sees of those that are not down.
func (s *simulatedFleet) viewFor(in *simulatedInstance) Fleet {
	f := Fleet{Self: in.address, DataCentre: in.dataCentre, Live: map[string]int{}}
	for _, o := range s.instances {
		if o.down {
			continue
		}
		f.Live[o.dataCentre]++
		if o.dataCentre == in.dataCentre {
			f.Usable = append(f.Usable, o.address)
		}
	}
	return f
}

func (s *simulatedFleet) updateViews(now time.Duration) {
	for _, in := range s.instances {
		in.view.Set(now, s.viewFor(in))
	}
}

// request sends one request of the instance to a random upstream that admits it.
func (s *simulatedFleet) request(now time.Duration, in *simulatedInstance) bool {
	if in.down {
		return false
	}
	d := in.view.Division(now)
	offset := s.rng.IntN(len(s.limits))
	for i := range len(s.limits) {
		u := fmt.Sprint("upstream-", (i+offset)%len(s.limits))
		b := in.buckets[u]
		if b == nil {
			b = &Bucket{}
			in.buckets[u] = b
		}
		b.Observe(now, Limit{Named: true, PerSecond: s.limits[u]})
		if b.Take(now, d, u) {
			s.sent[u] = append(s.sent[u], now)
			return true
		}
	}
	return false
}

// run sends perSecond requests a second at random instances from from to to.
func (s *simulatedFleet) run(from, to time.Duration, perSecond float64) {
	for now := from; now < to; now += time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		s.request(now, s.instances[s.rng.IntN(len(s.instances))])
	}
}

// checkRule fails the test if any window exceeds the operators' rule.
func (s *simulatedFleet) checkRule(t *testing.T, what string) {
	t.Helper()
	for u, times := range s.sent {
		allowed := ruleFactor*s.limits[u]*ruleWindow.Seconds() + ruleSlack
		first := 0
		for i, at := range times {
			for times[first] <= at-ruleWindow {
				first++
			}
			if n := i - first + 1; float64(n) > allowed {
				t.Fatalf("%s: %s, limit %v: %d requests in the %v before %v, allowed %.1f", what, u, s.limits[u], n, ruleWindow, at, allowed)
			}
		}
	}
}

func (s *simulatedFleet) limitSum() (sum float64) {
	for _, l := range s.limits {
		sum += l
	}
	return sum
}

var testLimits = []float64{0, 0.2, 0.7, 1, 1.5, 2.3, 3.6, 4, 5.5, 6.2, 9, 17, 40}

// Parts of a limit that were not used were all sent at once when load rose, or
// the parts of all instances of a large fleet added up to far more than the limit.
func TestBurstAfterQuietKeepsLimit(t *testing.T) {
	for _, size := range []int{1, 2, 7, 19, 96, 471, 1000} {
		s := newSimulatedFleet(size, 5, testLimits, uint64(size))
		s.updateViews(0)
		s.run(0, 20*time.Second, s.limitSum()/20)
		s.run(20*time.Second, 26*time.Second, 10*s.limitSum())
		s.checkRule(t, fmt.Sprint(size, " instances"))
	}
}

// A limit was cut into parts too small to be used.
func TestLimitIsUsed(t *testing.T) {
	for _, size := range []int{1, 19, 471} {
		s := newSimulatedFleet(size, 5, testLimits, uint64(size))
		s.updateViews(0)
		s.run(0, 10*time.Second, 50*s.limitSum())
		for u, l := range s.limits {
			if got := float64(len(s.sent[u])) / 10; got < 0.75*l-0.5 || got > l+float64(Limit{PerSecond: l}.holders(size))/10 {
				t.Errorf("%d instances: %s got %.2f requests a second, limit %v", size, u, got, l)
			}
		}
	}
}

// Instances that see the fleet differently while others stop, start or fall
// silent exceeded a limit together.
func TestChangingFleetKeepsLimit(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulatedFleet(19, 3, testLimits, seed)
		s.updateViews(0)
		for now := time.Duration(0); now < 40*time.Second; now += 250 * time.Millisecond {
			if s.rng.IntN(4) == 0 {
				in := s.instances[s.rng.IntN(len(s.instances))]
				in.down = !in.down
				if !in.down { // a new process
					in.view, in.buckets = FleetView{}, map[string]*Bucket{}
					in.view.Set(now, s.viewFor(in))
				}
			}
			for _, in := range s.instances {
				if s.rng.IntN(3) == 0 { // the others learn of changes later
					in.view.Set(now, s.viewFor(in))
				}
			}
			s.run(now, now+250*time.Millisecond, 3*s.limitSum())
		}
		s.checkRule(t, fmt.Sprint("seed ", seed))
	}
}

// An instance that heard no other any more took the whole limit for itself.
func TestCutOffInstanceKeepsItsPart(t *testing.T) {
	s := newSimulatedFleet(19, 3, []float64{5.5}, 1)
	s.updateViews(0)
	alone := s.instances[0]
	alone.view.Set(time.Second, Fleet{
		Self: alone.address, DataCentre: alone.dataCentre, Usable: []string{alone.address}, Live: map[string]int{alone.dataCentre: 1},
	})
	sent := 0
	for now := time.Second; now < 9*time.Second; now += 10 * time.Millisecond {
		if s.request(now, alone) {
			sent++
		}
	}
	if sent > 9 {
		t.Errorf("%d requests in 8 s, a tenth of the limit is 5 and half a second's", sent)
	}
	for now := 12 * time.Second; now < 20*time.Second; now += 10 * time.Millisecond {
		if s.request(now, alone) {
			sent++
		}
	}
	if sent < 20 {
		t.Errorf("%d requests in 16 s: an instance that stays alone may use the limit", sent)
	}
}

// All instances agree on who holds a part, and the parts add up to the limit.
func TestPartsAddUp(t *testing.T) {
	for _, size := range []int{1, 3, 19, 471} {
		s := newSimulatedFleet(size, 5, nil, uint64(size))
		s.updateViews(0)
		for _, l := range []float64{0.1, 1, 5.5, 30} {
			limit, sum, holders := Limit{Named: true, PerSecond: l}, 0.0, 0
			for _, in := range s.instances {
				if p := in.view.Division(0).share("upstream-1", limit); p.held {
					holders++
					sum += 1 / p.interval.Seconds()
				}
			}
			if holders != limit.holders(size) || sum > l || sum < 0.9*l {
				t.Errorf("%d instances, limit %v: %d holders with %.2f requests a second", size, l, holders, sum)
			}
		}
	}
}

// A limit that is lifted no longer counts; one that is named again begins anew.
func TestBucketFollowsLimit(t *testing.T) {
	var v FleetView
	v.Set(0, Fleet{Self: "a", DataCentre: "dc", Usable: []string{"a"}, Live: map[string]int{"dc": 1}})
	var b Bucket
	if !b.Take(0, v.Division(0), "u") {
		t.Error("an upstream without a limit was not admitted")
	}
	b.Observe(0, Limit{Named: true})
	if a := b.Check(time.Hour, v.Division(0), "u"); a.Admitted || !a.Recheck {
		t.Errorf("an upstream that takes nothing: %+v", a)
	}
	b.Observe(0, Limit{Named: true, PerSecond: 1})
	at := time.Duration(0)
	for !b.Take(at, v.Division(at), "u") {
		at += 10 * time.Millisecond
	}
	if b.Take(at, v.Division(at), "u") {
		t.Error("two requests at once at one a second")
	}
	b.Return()
	if !b.Take(at, v.Division(at), "u") {
		t.Error("a request that was not sent still counts")
	}
	b.Observe(at, Limit{})
	for range 2 {
		if !b.Take(at, v.Division(at), "u") {
			t.Error("a lifted limit still counts")
		}
	}
}
