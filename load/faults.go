package load

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/standin"
)

// faults carries out the scenario's fault timeline until stop closes, and
// switches every fault off at the end.
func (r *Runner) faults(start time.Time, stop <-chan struct{}) {
	var wg sync.WaitGroup
	for i, f := range r.s.Faults {
		rng := rand.New(rand.NewPCG(r.s.Seed, uint64(i)))
		wg.Go(func() { r.fault(f, start, stop, rng) })
	}
	wg.Wait()
}

// fault runs one line of the timeline. Times count from the end of warm-up.
func (r *Runner) fault(f Fault, start time.Time, stop <-chan struct{}, rng *rand.Rand) {
	at := start.Add(r.s.Warmup.D() + f.At.D())
	for {
		if !sleepUntil(at, stop) {
			return
		}
		clear := r.switchOn(f, rng)
		on := sleepUntil(at.Add(f.For.D()), stop)
		clear()
		if !on || f.Every <= 0 {
			return
		}
		at = at.Add(f.Every.D())
	}
}

// switchOn makes the fault and returns what ends it.
func (r *Runner) switchOn(f Fault, rng *rand.Rand) (clear func()) {
	if f.Platform != nil {
		setPlatform(r.s.Platform, *f.Platform)
		return func() { setPlatform(r.s.Platform, standin.PlatformFaults{}) }
	}
	ids := r.targets(f, rng)
	for _, id := range ids {
		setUpstream(r.s.Control, id, f.Set)
	}
	return func() {
		for _, id := range ids {
			setUpstream(r.s.Control, id, standin.UpstreamFaults{})
		}
	}
}

func (r *Runner) targets(f Fault, rng *rand.Rand) []string {
	if f.Upstream != "" {
		return []string{f.Upstream}
	}
	var ids []string
	for _, u := range r.upstreams {
		if u.Service == f.Service {
			ids = append(ids, u.ID)
		}
	}
	slices.Sort(ids)
	rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(f.Pick, len(ids))]
}

// sleepUntil returns false where stop closes first.
func sleepUntil(at time.Time, stop <-chan struct{}) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-stop:
		return false
	}
}
