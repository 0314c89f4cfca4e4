package attempt

import "time"

// windowSteps is the number of steps in which a Window forgets.
const windowSteps = 20

// Window bounds extra attempts within every sliding span of time: a share of
// the calls of that span, and a fixed allowance beside it. It counts the span
// one step longer for attempts than for calls, so that the bound holds for
// every span, however it lies.
type Window struct {
	share     float64
	allowance float64
	step      time.Duration
	calls     [windowSteps + 1]int
	extra     [windowSteps + 1]int
	at        int64 // number of the current step
}

// NewWindow returns a Window for a span. Share is in extra attempts per call.
func NewWindow(share, allowance float64, span time.Duration) *Window {
	return &Window{share: share, allowance: allowance, step: span / windowSteps}
}

// SetAllowance changes the fixed allowance.
func (w *Window) SetAllowance(n float64) { w.allowance = n }

// Call counts one call.
func (w *Window) Call(now time.Duration) {
	w.advance(now)
	w.calls[w.index(w.at)]++
}

// Left returns the extra attempts that may be made now.
func (w *Window) Left(now time.Duration) float64 {
	bound, used := w.tally(now)
	return bound - used
}

// Spare tells whether less than a part of the bound is used.
func (w *Window) Spare(now time.Duration, part float64) bool {
	bound, used := w.tally(now)
	return used+1 <= part*bound
}

// tally returns the bound of the span that ends now, and what is used of it.
func (w *Window) tally(now time.Duration) (bound, used float64) {
	w.advance(now)
	calls, extra := 0, 0
	for i := range w.calls {
		extra += w.extra[i]
		if i != w.index(w.at+1) {
			calls += w.calls[i]
		}
	}
	return w.share*float64(calls) + w.allowance, float64(extra)
}

// Take uses one extra attempt, or returns false where none is left.
func (w *Window) Take(now time.Duration) bool {
	if w.Left(now) < 1 {
		return false
	}
	w.extra[w.index(w.at)]++
	return true
}

func (w *Window) index(step int64) int { return int(step % (windowSteps + 1)) }

// advance clears the steps that have passed.
func (w *Window) advance(now time.Duration) {
	at := int64(now / w.step)
	for w.at < at {
		w.at = max(w.at+1, at-windowSteps)
		i := w.index(w.at)
		w.calls[i], w.extra[i] = 0, 0
	}
}
