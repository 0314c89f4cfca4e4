// Package quota divides the request rate that an upstream takes from all
// instances together among the instances. They exchange no messages about it:
// each computes its own part from its view of the fleet. Differing views cost a
// part of the rate, or add one part for each instance that is seen by some only.
//
// A limit is too small to be divided among all instances of a large fleet: with
// a part of a request each, either none could send or all could at once. So a few
// instances hold it, chosen by rendezvous hash, each with an equal part that it
// sends at even intervals. The package does no I/O and reads no clock.
package quota

import (
	"math"
	"time"
)

// Limit is what an upstream named in a reply.
type Limit struct {
	// Named is false if the reply named no limit.
	Named bool
	// PerSecond is the number of requests a second that the upstream takes from
	// all instances together.
	PerSecond float64
}

// Parameters of the division of a limit.
const (
	// spareHolders is the number of instances that hold a part beyond one for
	// each request a second, so that most instances hold one of some upstream.
	// Parts that were not used and are all sent at once exceed the limit by one
	// request a holder.
	spareHolders = 4
	// rateSafetyFactor keeps the sum below the limit while instances disagree on
	// the fleet.
	rateSafetyFactor = 0.95
	// burstTolerance is how far ahead of its even intervals a holder may send.
	burstTolerance = 500 * time.Millisecond
	// maxInterval caps the interval between two requests of a holder.
	maxInterval = time.Hour
)

// holders returns how many of the instances hold a part of the limit.
func (l Limit) holders(instances int) int {
	return min(max(1, instances), int(min(math.Ceil(l.PerSecond), math.MaxInt32))+spareHolders)
}

// interval returns the time between two requests of each holder.
func (l Limit) interval(holders int) time.Duration {
	perSecond := rateSafetyFactor * l.PerSecond / float64(holders)
	if perSecond*maxInterval.Seconds() <= 1 {
		return maxInterval
	}
	return time.Duration(float64(time.Second) / perSecond)
}
