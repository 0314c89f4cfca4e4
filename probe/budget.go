// Package probe decides which upstreams to ask for their load, within a
// measuring budget that holds by construction: however the entries of a fleet
// see each other, their probes together use no more than the set share of an
// upstream's slot time.
package probe

import (
	"time"

	"golang.org/x/time/rate"
)

// Settings are the terms of a Budget.
type Settings struct {
	// Share is the share of an upstream's slot time that the probes of the
	// whole fleet may use, 0 to 1.
	Share float64
	// Cost is the slot time of one probe.
	Cost time.Duration
	// Entries is the largest number of entries that run at once. The share
	// is divided by it, whatever number is seen.
	Entries int
}

// perSecond returns the probes a second that one entry may send to an
// upstream with this number of slots.
func (s Settings) perSecond(slots int) float64 {
	if s.Cost <= 0 {
		return 0
	}
	return s.Share * float64(slots) / s.Cost.Seconds() / float64(max(1, s.Entries))
}

// burst is the number of probes that a Budget saves up.
const burst = 1

// Budget bounds the probes of one entry to one upstream by a token bucket
// that starts empty and holds one probe at most. In any time window w the
// entry, and those that replace it one after the other, send at most
//
//	Share * slots * w / (Cost * Entries) + 1
//
// probes, so a fleet of up to Entries entries uses at most
// Share*slots*w + Entries*Cost of the upstream's slot time.
type Budget struct {
	limiter *rate.Limiter
	last    time.Duration
}

// NewBudget returns an empty Budget for an upstream.
func NewBudget(now time.Duration, s Settings, slots int) *Budget {
	b := &Budget{limiter: rate.NewLimiter(rate.Limit(s.perSecond(slots)), burst), last: now}
	b.limiter.AllowN(clock(now), burst)
	return b
}

// Set changes the terms from now on; what was saved up stays.
func (b *Budget) Set(now time.Duration, s Settings, slots int) {
	b.limiter.SetLimitAt(b.at(now), rate.Limit(s.perSecond(slots)))
}

// Take tells whether one probe may be sent now, and counts it if so.
func (b *Budget) Take(now time.Duration) bool { return b.limiter.AllowN(b.at(now), 1) }

// at returns the limiter's time. A time before the last one is taken as the
// last one: the limiter would count the time between them twice.
func (b *Budget) at(now time.Duration) time.Time {
	b.last = max(b.last, now)
	return clock(b.last)
}

func clock(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
