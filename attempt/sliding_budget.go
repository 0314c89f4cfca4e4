package attempt

import "time"

// windowBuckets is the number of buckets into which the span of a SlidingBudget
// is divided.
const windowBuckets = 20

// SlidingBudget limits the extra attempts in a sliding window of time to a
// share of the calls in that window plus a fixed allowance. Extra attempts are
// counted over one bucket more than calls, so that the bound holds for every
// interval of the window's length, also for one that does not begin with a
// bucket.
type SlidingBudget struct {
	share      float64
	allowance  float64
	bucketSpan time.Duration
	calls      [windowBuckets + 1]int
	extra      [windowBuckets + 1]int
	current    int64 // number of the current bucket since time 0
}

// NewSlidingBudget returns a SlidingBudget of length span. Share is in extra
// attempts per call.
func NewSlidingBudget(share, allowance float64, span time.Duration) *SlidingBudget {
	return &SlidingBudget{share: share, allowance: allowance, bucketSpan: span / windowBuckets}
}

// SetAllowance changes the fixed allowance.
func (b *SlidingBudget) SetAllowance(n float64) { b.allowance = n }

// Call counts a call.
func (b *SlidingBudget) Call(now time.Duration) {
	b.advance(now)
	b.calls[b.index(b.current)]++
}

// Remaining returns the number of extra attempts that may be made now.
func (b *SlidingBudget) Remaining(now time.Duration) float64 {
	bound, used := b.tally(now)
	return bound - used
}

// HasHeadroom reports whether one more extra attempt would use at most a part
// of the bound; part is 0 to 1.
func (b *SlidingBudget) HasHeadroom(now time.Duration, part float64) bool {
	bound, used := b.tally(now)
	return used+1 <= part*bound
}

// tally returns the bound of the window that ends now, and the number of extra
// attempts that count against it.
func (b *SlidingBudget) tally(now time.Duration) (bound, used float64) {
	b.advance(now)
	calls, extra := 0, 0
	for i := range b.calls {
		extra += b.extra[i]
		if i != b.index(b.current+1) {
			calls += b.calls[i]
		}
	}
	return b.share*float64(calls) + b.allowance, float64(extra)
}

// Take counts one extra attempt. It returns false if none is left.
func (b *SlidingBudget) Take(now time.Duration) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.extra[b.index(b.current)]++
	return true
}

func (b *SlidingBudget) index(bucket int64) int { return int(bucket % (windowBuckets + 1)) }

// advance moves to the bucket of now and clears the buckets in between.
func (b *SlidingBudget) advance(now time.Duration) {
	target := int64(now / b.bucketSpan)
	for b.current < target {
		b.current = max(b.current+1, target-windowBuckets)
		i := b.index(b.current)
		b.calls[i], b.extra[i] = 0, 0
	}
}
