package quota

import (
	"maps"
	"time"
)

// holdTime is how long the number of live instances of a data centre counts
// after it fell: an instance that others no longer hear may still send, and one
// that hears no other must not take the whole limit for itself.
const holdTime = 10 * time.Second

// FleetView follows the fleet and holds the current Division. It is not safe for
// concurrent use.
type FleetView struct {
	latest   Fleet
	live     map[string]*heldCount
	division *Division
	// expires is when a held number ends; 0 for never.
	expires time.Duration
}

// heldCount is the number of live instances of a data centre.
type heldCount struct {
	latest, held int
	// fellAt is when latest fell below held.
	fellAt time.Duration
}

// Set replaces the view of the fleet.
func (v *FleetView) Set(now time.Duration, f Fleet) {
	if v.live == nil {
		v.live = map[string]*heldCount{}
	}
	v.latest = f
	for dc := range f.Live {
		if v.live[dc] == nil {
			v.live[dc] = &heldCount{}
		}
	}
	for dc, c := range v.live {
		c.set(now, f.Live[dc])
	}
	v.divide(now)
}

// Division returns the current division; nil before the first Set.
func (v *FleetView) Division(now time.Duration) *Division {
	if v.expires > 0 && now >= v.expires {
		v.divide(now)
	}
	return v.division
}

// divide replaces the division by one with the numbers that count now.
func (v *FleetView) divide(now time.Duration) {
	f := v.latest
	f.Live = map[string]int{}
	v.expires = 0
	for dc, c := range v.live {
		f.Live[dc] = c.at(now)
		if end := c.fellAt + holdTime; c.held > c.latest && (v.expires == 0 || end < v.expires) {
			v.expires = end
		}
	}
	if v.division == nil || !v.division.same(f) {
		v.division = newDivision(f)
	}
}

func (c *heldCount) set(now time.Duration, n int) {
	held := c.at(now)
	switch {
	case n >= held:
		c.held = n
	case c.latest >= held:
		c.fellAt = now
	}
	c.latest = n
}

// at returns the number that counts now.
func (c *heldCount) at(now time.Duration) int {
	if c.held > c.latest && now >= c.fellAt+holdTime {
		c.held = c.latest
	}
	return c.held
}

// same reports whether a division of f would be the same.
func (d *Division) same(f Fleet) bool {
	return d.fleet.Self == f.Self && d.fleet.DataCentre == f.DataCentre && equalSets(d.fleet.Usable, f.Usable) && maps.Equal(d.fleet.Live, f.Live)
}

// equalSets reports whether two lists of distinct strings hold the same ones.
func equalSets(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	in := make(map[string]bool, len(a))
	for _, s := range a {
		in[s] = true
	}
	for _, s := range b {
		if !in[s] {
			return false
		}
	}
	return true
}
