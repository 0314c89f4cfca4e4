package ratelimit

import "time"

// How long the largest number of live instances counts after it fell, while this instance
// sees a majority of them and while it does not. Instances that it no longer sees may be
// cut off and serve their part; a minority can't be what remains of a fleet that shrank.
const (
	majorityHold = time.Minute
	minorityHold = 10 * time.Minute
)

// majority is the share of the fleet above which an instance sees a majority.
const majority = 0.5

// fleetSize tracks which part of the fleet this instance sees.
type fleetSize struct {
	// live is the number of live instances, most the largest number that still counts.
	live, most int
	// fellAt is when live fell below most.
	fellAt time.Duration
}

// set records the number of live instances, and the number known by other means, 0 for none.
func (s *fleetSize) set(now time.Duration, live, known int) {
	s.expire(now)
	if s.live >= s.most {
		s.fellAt = now
	}
	s.live, s.most = live, max(s.most, live, known)
}

// expire lowers most to live once live has been lower for the hold time.
func (s *fleetSize) expire(now time.Duration) {
	hold := minorityHold
	if 2*s.live > s.most {
		hold = majorityHold
	}
	if s.live < s.most && now-s.fellAt >= hold {
		s.most = s.live
	}
}

// share returns the part of the fleet that this instance sees, 0 to 1.
func (s *fleetSize) share(now time.Duration) float64 {
	s.expire(now)
	return min(1, float64(s.live)/float64(max(1, s.most)))
}
