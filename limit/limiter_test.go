package limit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/balance"
)

var testOptions = Options{Slots: 4, MaxSlots: 8, Queue: 6, LongShare: 0.5}

// limiterModel is the test oracle of a Limiter: it tracks the waiting and the
// running calls.
type limiterModel struct {
	limiter *Limiter
	now     time.Duration
	lastID  uint64
	waiting map[uint64]waitingCall
	running []balance.Class
}

type waitingCall struct {
	request Request
	ticket  Ticket
}

// TestLimiter checks the Limiter against its model for random sequences of
// admissions, ends, removals and time steps: the bounds hold, each waiting call
// leaves the queue once, calls of the same caller and class leave in order of
// arrival, and no call starts at or after its deadline.
func TestLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &limiterModel{limiter: New(testOptions), waiting: map[uint64]waitingCall{}}
		t.Repeat(map[string]func(*rapid.T){
			"admit": m.admit, "admit 2": m.admit, "done": m.done, "remove": m.remove,
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond
				m.next(t)
			},
			"": m.check,
		})
	})
}

func (m *limiterModel) admit(t *rapid.T) {
	m.lastID++
	r := Request{
		ID: m.lastID, Caller: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
		Class:    rapid.SampledFrom([]balance.Class{balance.Short, balance.Short, balance.Long}).Draw(t, "class"),
		Deadline: m.now + time.Duration(rapid.IntRange(1, 100).Draw(t, "ms"))*time.Millisecond,
	}
	d := m.limiter.Admit(m.now, r)
	if d.Evicted != 0 {
		if _, ok := m.waiting[d.Evicted]; !ok {
			t.Fatalf("call %d was evicted but is not in the queue", d.Evicted)
		}
		delete(m.waiting, d.Evicted)
	}
	switch d.Verdict {
	case Run:
		m.running = append(m.running, r.Class)
	case Wait:
		m.waiting[r.ID] = waitingCall{r, d.Ticket}
	case Refuse:
		if d.Reason.Remedy() == "" {
			t.Fatalf("refused with reason %q, which has no remedy", d.Reason)
		}
	}
}

func (m *limiterModel) done(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	latency := time.Duration(rapid.IntRange(0, 30).Draw(t, "latency")) * time.Millisecond
	m.limiter.Done(m.now, Sample{Class: m.running[i], Latency: latency, Shed: rapid.Bool().Draw(t, "shed")})
	m.running = slices.Delete(m.running, i, i+1)
	m.next(t)
}

func (m *limiterModel) next(t *rapid.T) {
	for {
		r, ok := m.limiter.Next(m.now)
		if !ok {
			return
		}
		w, ok := m.waiting[r.ID]
		if !ok {
			t.Fatalf("Next returned call %d, which is not in the queue", r.ID)
		}
		delete(m.waiting, r.ID)
		for id, other := range m.waiting {
			if id < r.ID && other.request.Caller == w.request.Caller && other.request.Class == w.request.Class {
				t.Fatalf("call %d left the queue before call %d, which is earlier and of the same caller", r.ID, id)
			}
		}
		if !r.Late {
			if m.now >= w.request.Deadline {
				t.Fatalf("call %d starts at or after its deadline", r.ID)
			}
			m.running = append(m.running, w.request.Class)
		}
	}
}

func (m *limiterModel) remove(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.waiting))).Draw(t, "waiting")
	m.limiter.Remove(m.waiting[id].ticket)
	delete(m.waiting, id)
}

func (m *limiterModel) check(t *rapid.T) {
	l := m.limiter
	if l.Running() != len(m.running) || l.Waiting() != len(m.waiting) {
		t.Fatalf("%d running and %d waiting, want %d and %d", l.Running(), l.Waiting(), len(m.running), len(m.waiting))
	}
	if l.Waiting() > testOptions.Queue+3 || l.Limit() < testOptions.Slots || l.Limit() > 2*testOptions.MaxSlots {
		t.Fatalf("out of bounds: %d waiting, limit %d", l.Waiting(), l.Limit())
	}
	if l.longQueue.n > 0 && l.shortQueue.n == 0 && l.Running() == 0 && m.now > 0 {
		m.next(t)
		if l.longQueue.n > 0 && l.Running() == 0 {
			t.Fatal("long work still waits while no call runs")
		}
	}
}

// client is a caller of the simulated service.
type client struct {
	name string
	rate float64 // calls per second
	done int     // calls that finished within their deadline
}

// simulate sends the clients' calls through l to a simulated service with the
// given slots and mean service time, for a simulated time of length. It returns
// the number of calls that finished within their deadline.
func simulate(t *testing.T, l *Limiter, clients []*client, slots int, mean, length, timeout time.Duration) int {
	rng := rand.New(rand.NewPCG(1, 1))
	type job struct {
		owner    *client
		end      time.Duration
		start    time.Duration
		deadline time.Duration
	}
	calls := map[uint64]*job{}
	free := make([]time.Duration, slots) // time from which each slot is free
	var busy []*job
	var id uint64
	inTime := 0
	startJob := func(now time.Duration, j *job) {
		i := 0
		for k := range free {
			if free[k] < free[i] {
				i = k
			}
		}
		j.start = now
		j.end = max(now, free[i]) + time.Duration(float64(mean)*(0.5+0.5*rng.ExpFloat64()))
		free[i] = j.end
		busy = append(busy, j)
	}
	const step = 100 * time.Microsecond
	for now := time.Duration(0); now < length; now += step {
		for k := 0; k < len(busy); k++ {
			if j := busy[k]; j.end <= now {
				busy = slices.Delete(busy, k, k+1)
				k--
				l.Done(now, Sample{Latency: j.end - j.start})
				if j.end <= j.deadline {
					j.owner.done++
					inTime++
				}
			}
		}
		for r, ok := l.Next(now); ok; r, ok = l.Next(now) {
			if !r.Late {
				startJob(now, calls[r.ID])
			}
			delete(calls, r.ID)
		}
		for _, c := range clients {
			for p := c.rate * step.Seconds(); rng.Float64() < p; p-- {
				id++
				j := &job{owner: c, deadline: now + timeout}
				switch d := l.Admit(now, Request{ID: id, Caller: c.name, Deadline: j.deadline}); d.Verdict {
				case Run:
					startJob(now, j)
				case Wait:
					calls[id] = j
				}
			}
		}
	}
	return inTime
}

// TestFairness offers a service three times its capacity. One greedy caller of
// ten sends most of it; each of the others must get at least 80% of a tenth of
// the capacity.
func TestFairness(t *testing.T) {
	const slots, mean, length = 6, 5 * time.Millisecond, 10 * time.Second
	clients := []*client{{name: "greedy", rate: 2600}}
	for i := range 9 {
		clients = append(clients, &client{name: fmt.Sprint("c", i), rate: 120})
	}
	l := New(Options{Slots: slots, MaxSlots: slots, Queue: 64, LongShare: 0.5})
	simulate(t, l, clients, slots, mean, length, 200*time.Millisecond)
	share := slots / mean.Seconds() * length.Seconds() / 10
	for _, c := range clients[1:] {
		if float64(c.done) < 0.8*share {
			t.Errorf("%s: %d calls finished in time, fair share is %.0f", c.name, c.done, share)
		}
	}
	t.Logf("greedy: %d, c0: %d, fair share: %.0f", clients[0].done, clients[1].done, share)
}

// TestOverload offers a service 150% of its capacity. The calls that finish in
// time must amount to at least 90% of the capacity, also if the entry starts
// with a smaller share of the slots.
func TestOverload(t *testing.T) {
	const slots, mean, length = 6, 5 * time.Millisecond, 10 * time.Second
	capacity := slots / mean.Seconds() * length.Seconds()
	for _, share := range []int{slots, slots / 2, 1} {
		l := New(Options{Slots: share, MaxSlots: slots, Queue: 64, LongShare: 0.5})
		inTime := simulate(t, l, []*client{{name: "a", rate: 1.5 * slots / mean.Seconds()}}, slots, mean, length, 100*time.Millisecond)
		t.Logf("%d slots: %d of %.0f calls in time, limit %d", share, inTime, capacity, l.Limit())
		if float64(inTime) < 0.9*capacity {
			t.Errorf("%d slots: %d of %.0f calls in time", share, inTime, capacity)
		}
	}
}

func TestRouteClassifierDetectsLongWork(t *testing.T) {
	var r RouteClassifier
	rng := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		path, mean := "/check/1", 5.0
		if rng.IntN(20) == 0 {
			path, mean = "/print/1", 100.0
		}
		r.Observe(r.Bucket(path), time.Duration(mean*(0.5+0.5*rng.ExpFloat64())*float64(time.Millisecond)))
	}
	if r.Class(r.Bucket("/print/2")) != balance.Long || r.Class(r.Bucket("/check/2")) != balance.Short {
		t.Error("/print is not classified as long work, or /check not as short")
	}
}

func BenchmarkAdmitDone(b *testing.B) {
	l := New(Options{Slots: 2, MaxSlots: 2, Queue: 64, LongShare: 0.5})
	callers := [4]string{"a", "b", "c", "d"}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		l.Admit(now, Request{ID: uint64(i) + 1, Caller: callers[i%4], Deadline: now + time.Second})
		if i%2 == 1 && l.Running() > 0 {
			l.Done(now, Sample{Latency: time.Millisecond})
			l.Next(now)
		}
	}
}
