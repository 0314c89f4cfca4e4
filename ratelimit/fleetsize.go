package ratelimit

import "time"

// How long the largest number of live instances counts after it fell, while this instance
// sees a majority of them and while it does not. Instances that it no longer sees may be
// cut off and serve their part; a minority can't be what remains of a fleet that shrank.
const (
	majorityHold = time.Minute
	minorityHold = 10 * time.Minute
)

// fleetSize tracks which part of the fleet this instance sees.
type fleetSize struct {
	live, most int
	fellAt     time.Duration
}

func (s *fleetSize) set(now time.Duration, live, known int) {
	s.expire(now)
	if s.live >= s.most {
		s.fellAt = now
	}
	s.live, s.most = live, max(s.most, live, known)
}

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
