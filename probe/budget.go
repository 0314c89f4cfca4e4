// Package probe decides which upstreams to probe for their load, within a budget
// that holds by construction: even if the entries' views of the fleet differ,
// all their probes together use no more than the configured share of an
// upstream's slot time.
package probe

import (
	"time"

	"golang.org/x/time/rate"
)

// Settings holds the parameters of a Budget.
type Settings struct {
	// Share is the share of an upstream's slot time that the probes of all
	// entries together may use, 0 to 1.
	Share float64
	// Cost is the slot time that one probe uses.
	Cost time.Duration
	// Entries is the maximum number of entries that run at the same time. The
	// share is divided by it, not by the number of entries seen live.
	Entries int
}

// perSecond returns the number of probes per second that one entry may send to
// an upstream with this number of slots. It is 0 for a Cost of 0 or less.
func (s Settings) perSecond(slots int) float64 {
	if s.Cost <= 0 {
		return 0
	}
	return s.Share * float64(slots) / s.Cost.Seconds() / float64(max(1, s.Entries))
}

// burst is the maximum number of unused probes that a Budget accumulates.
const burst = 1

// Budget limits the probes of one entry to one upstream by a token bucket that
// starts empty and holds at most one token. In any time window w the entry and
// its successive replacements send at most
//
//	Share * slots * w / (Cost * Entries) + 1
//
// probes, so a fleet of up to Entries entries uses at most
// Share*slots*w + Entries*Cost of the upstream's slot time.
type Budget struct {
	limiter *rate.Limiter
	latest  time.Duration
}

// NewBudget returns an empty Budget for an upstream with this number of slots.
func NewBudget(now time.Duration, s Settings, slots int) *Budget {
	b := &Budget{limiter: rate.NewLimiter(rate.Limit(s.perSecond(slots)), burst), latest: now}
	b.limiter.AllowN(toTime(now), burst)
	return b
}

// Set changes the settings from now on; accumulated tokens are kept.
func (b *Budget) Set(now time.Duration, s Settings, slots int) {
	b.limiter.SetLimitAt(b.at(now), rate.Limit(s.perSecond(slots)))
}

// Allow reports whether one probe may be sent now, and takes a token if so.
func (b *Budget) Allow(now time.Duration) bool { return b.limiter.AllowN(b.at(now), 1) }

// at converts now to the limiter's time. A time before the latest one is replaced
// by the latest one, because the limiter would otherwise add the tokens for the
// time between them twice.
func (b *Budget) at(now time.Duration) time.Time {
	b.latest = max(b.latest, now)
	return toTime(b.latest)
}

func toTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
