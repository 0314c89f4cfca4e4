package load

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/standin"
)

// runFaults injects the scenario's faults at their times until stop closes, then
// removes those that are active.
func (r *Runner) runFaults(start time.Time, stop <-chan struct{}) {
	var wg sync.WaitGroup
	for i, f := range r.scenario.Faults {
		rng := rand.New(rand.NewPCG(r.scenario.Seed, uint64(i)))
		wg.Go(func() { r.runFault(f, start, stop, rng) })
	}
	wg.Wait()
}

// runFault injects f at its times, which count from the end of the warm-up.
func (r *Runner) runFault(f Fault, start time.Time, stop <-chan struct{}, rng *rand.Rand) {
	at := start.Add(r.scenario.Warmup.D() + f.At.D())
	for {
		if !sleepUntil(at, stop) {
			return
		}
		clear := r.inject(f, rng)
		elapsed := sleepUntil(at.Add(f.For.D()), stop)
		clear()
		if !elapsed || f.Every <= 0 {
			return
		}
		at = at.Add(f.Every.D())
	}
}

// inject switches the fault on and returns a function that removes it. Errors of
// the stand-ins are ignored.
func (r *Runner) inject(f Fault, rng *rand.Rand) (clear func()) {
	if f.Platform != nil {
		setPlatformFaults(r.scenario.Platform, *f.Platform)
		return func() { setPlatformFaults(r.scenario.Platform, standin.PlatformFaults{}) }
	}
	ids := r.faultTargets(f, rng)
	for _, id := range ids {
		setUpstreamFaults(r.scenario.Control, id, f.Set)
	}
	return func() {
		for _, id := range ids {
			setUpstreamFaults(r.scenario.Control, id, standin.UpstreamFaults{})
		}
	}
}

// faultTargets returns the IDs of the upstreams that f affects: the one that it
// names, or f.Pick random ones of its service.
func (r *Runner) faultTargets(f Fault, rng *rand.Rand) []string {
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

// sleepUntil waits until at. It returns false if stop closes first.
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
