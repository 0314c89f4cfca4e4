package attempt

import "time"

// windowBuckets is the number of buckets into which the span of a Window is
// divided.
const windowBuckets = 20

// Window limits the extra attempts in a sliding window of time to a share of the
// calls in that window plus a fixed allowance. Extra attempts are counted over
// one bucket more than calls, so that the bound holds for every interval of the
// window's length, also for one that does not begin with a bucket.
type Window struct {
	share      float64
	allowance  float64
	bucketSpan time.Duration
	calls      [windowBuckets + 1]int
	extra      [windowBuckets + 1]int
	current    int64 // number of the current bucket since time 0
}

// NewWindow returns a Window of length span. Share is in extra attempts per call.
func NewWindow(share, allowance float64, span time.Duration) *Window {
	return &Window{share: share, allowance: allowance, bucketSpan: span / windowBuckets}
}

// SetAllowance changes the fixed allowance.
func (w *Window) SetAllowance(n float64) { w.allowance = n }

// Call counts a call.
func (w *Window) Call(now time.Duration) {
	w.advance(now)
	w.calls[w.index(w.current)]++
}

// Left returns the number of extra attempts that may be made now.
func (w *Window) Left(now time.Duration) float64 {
	bound, used := w.tally(now)
	return bound - used
}

// Spare reports whether one more extra attempt would use at most a part of the
// bound; part is 0 to 1.
func (w *Window) Spare(now time.Duration, part float64) bool {
	bound, used := w.tally(now)
	return used+1 <= part*bound
}

// tally returns the bound of the window that ends now, and the number of extra
// attempts that count against it.
func (w *Window) tally(now time.Duration) (bound, used float64) {
	w.advance(now)
	calls, extra := 0, 0
	for i := range w.calls {
		extra += w.extra[i]
		if i != w.index(w.current+1) {
			calls += w.calls[i]
		}
	}
	return w.share*float64(calls) + w.allowance, float64(extra)
}

// Take counts one extra attempt. It returns false if none is left.
func (w *Window) Take(now time.Duration) bool {
	if w.Left(now) < 1 {
		return false
	}
	w.extra[w.index(w.current)]++
	return true
}

func (w *Window) index(bucket int64) int { return int(bucket % (windowBuckets + 1)) }

// advance moves to the bucket of now and clears the buckets in between.
func (w *Window) advance(now time.Duration) {
	target := int64(now / w.bucketSpan)
	for w.current < target {
		w.current = max(w.current+1, target-windowBuckets)
		i := w.index(w.current)
		w.calls[i], w.extra[i] = 0, 0
	}
}
