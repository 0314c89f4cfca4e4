package quota

import (
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/internal/rendezvous"
)

// Times of a view of the fleet by which the limits of cold upstreams are divided.
const (
	// coldSettleTime is the age from which a view counts: at its start an instance takes
	// itself for the only one.
	coldSettleTime = 2 * time.Second
	// coldStartTime is how long after its start an instance holds no part before it has met
	// another instance, or while its view still grows, within coldQuietTime.
	coldStartTime = 10 * time.Second
	coldQuietTime = time.Second
	// coldHold is how long instances count after they were last seen: those that are cut
	// off still send. A partition that lasts longer may exceed the bound.
	coldHold = 3 * time.Minute
	// standInDelay is how long after a data centre lost its last instance, or after the
	// start of an instance that knows none there, another one stands in for it.
	standInDelay = holdTime
)

// ColdView follows the fleet and divides the limits of cold upstreams. It remembers
// instances for long, so that no partition makes a part grow. It is not safe for
// concurrent use.
type ColdView struct {
	latest Fleet
	// set and met are whether a view was set, and one with another instance; setAt and
	// grownAt are when the first view was set and an instance was last added.
	set, met       bool
	setAt, grownAt time.Duration
	// instances are those of this data centre that take requests, dataCentres those with a
	// live instance.
	instances, dataCentres presence

	// version increases whenever the fields below are computed; they hold until changesAt.
	version   uint64
	changesAt time.Duration
	// mayHold is set if this instance may hold parts.
	mayHold bool
	// knownInstances are those of this data centre that count within coldHold, sorted.
	knownInstances []string
	// knownCentres are the data centres, sorted, that have had an instance within coldHold.
	knownCentres []string
}

// Set replaces the view of the fleet.
func (v *ColdView) Set(now time.Duration, f Fleet) {
	if !v.set {
		v.set, v.setAt = true, now
	}
	v.latest = f
	if v.instances.set(now, f.Usable) {
		v.grownAt = now
	}
	var live []string
	total := 0
	for dc, n := range f.Live {
		if total += n; n > 0 {
			live = append(live, dc)
		}
	}
	v.dataCentres.set(now, live)
	v.met = v.met || total > 1
	v.update(now)
}

// update computes the fields that hold until changesAt.
func (v *ColdView) update(now time.Duration) {
	v.version++
	v.changesAt = never
	v.knownInstances = v.instances.within(now, coldHold, &v.changesAt)
	v.knownCentres = v.dataCentres.within(now, coldHold, &v.changesAt)
	v.dataCentres.within(now, standInDelay, &v.changesAt)
	settled := v.settledAt()
	for _, at := range [...]time.Duration{settled, v.setAt + standInDelay} {
		if now < at {
			v.changesAt = min(v.changesAt, at)
		}
	}
	v.mayHold = v.set && now >= settled && slices.Contains(v.latest.Usable, v.latest.Self)
}

// settledAt returns from when this instance may hold parts.
func (v *ColdView) settledAt() time.Duration {
	if !v.met {
		return v.setAt + coldStartTime
	}
	return max(v.setAt+coldSettleTime, min(v.grownAt+coldQuietTime, v.setAt+coldStartTime))
}

// share returns this instance's part of the limit of a cold upstream.
func (v *ColdView) share(now time.Duration, upstream, dataCentre string, l ColdLimit) coldShare {
	if !v.mayHold {
		return coldShare{}
	}
	budget, standIn := l.budgets()
	switch holder := v.holderCentre(now, upstream, dataCentre); {
	case holder == "" || holder != v.latest.DataCentre:
		return coldShare{}
	case holder != dataCentre:
		budget = standIn
	case len(v.knownCentres) == 1:
		budget += standIn
	}
	rank := rendezvous.Rank(v.latest.Self, v.knownInstances, upstream, budget)
	return l.newColdShare(budget, len(v.knownInstances), rank, fraction(rendezvous.Hash(upstream, v.latest.Self)))
}

// holderCentre returns the data centre whose instances may send to a cold upstream: its own,
// the one that stands in while that has no instance, or none.
func (v *ColdView) holderCentre(now time.Duration, upstream, dataCentre string) (holder string) {
	switch {
	case v.dataCentres.has(now, dataCentre, standInDelay):
		return dataCentre
	case now < v.setAt+standInDelay:
		return "" // it may not have heard of that data centre yet
	}
	most := uint64(0)
	for _, dc := range v.knownCentres { // sorted
		if h := rendezvous.Hash(dc, upstream); dc != dataCentre && (holder == "" || h > most) {
			holder, most = dc, h
		}
	}
	return holder
}

// presence holds when each name was last present; the value is never for those that are
// present now.
type presence map[string]time.Duration

// never is later than any time.
const never = time.Duration(1<<63 - 1)

// set replaces the names that are present, and reports whether one is new.
func (p *presence) set(now time.Duration, names []string) (grown bool) {
	if *p == nil {
		*p = presence{}
	}
	before := len(*p)
	for name, last := range *p {
		if last == never {
			(*p)[name] = now
		}
	}
	for _, name := range names {
		(*p)[name] = never
	}
	return len(*p) > before
}

// has reports whether a name is or was present within hold.
func (p presence) has(now time.Duration, name string, hold time.Duration) bool {
	last, known := p[name]
	return known && (last == never || now < last+hold)
}

// within returns the names that are or were present within hold, sorted. It lowers
// changesAt to the time at which the first of them ends, and forgets those past coldHold.
func (p presence) within(now, hold time.Duration, changesAt *time.Duration) (names []string) {
	for name, last := range p {
		switch {
		case last == never:
			names = append(names, name)
		case now < last+hold:
			names = append(names, name)
			*changesAt = min(*changesAt, last+hold)
		case now >= last+coldHold:
			delete(p, name)
		}
	}
	slices.Sort(names)
	return names
}
