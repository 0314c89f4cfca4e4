package limit

import (
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

// learner finds the limit by additive increase and multiplicative decrease.
// As in TCP Vegas, the sign of congestion is latency above its baseline; it
// compares means of windows, since single service times vary too much.
type learner struct {
	limit, low, high float64
	// baseline is the lowest recent window mean; it drifts up slowly.
	baseline time.Duration
	// Of the window in progress:
	start   time.Duration
	sum     time.Duration
	samples int
	sheds   int
	all     int
	// peak is the most calls that ran at once.
	peak int
}

const (
	windowTime    = 20 * time.Millisecond
	windowSamples = 32
	// congested is the rise over the baseline that lowers the limit.
	congested = 1.5
	// noise is the rise that is never taken for congestion.
	noise = 500 * time.Microsecond
	// shedShare is the share of refusals by upstreams that lowers the limit.
	shedShare = 0.01
	decrease  = 0.9
	// increase is the rise per window, as a share of the limit.
	increase = 0.05
	// used is the share of the limit that must be taken for it to rise.
	used = 0.8
	// drift is the share of its distance to the mean that the baseline moves
	// up per window.
	drift = 0.01
)

func (l *learner) bounds(low, high float64) {
	l.low, l.high = low, high
	if l.limit == 0 {
		l.limit = low
	}
	l.limit = min(max(l.limit, low), high)
}

func (l *learner) add(now time.Duration, s Sample) {
	l.all++
	if s.Shed {
		l.sheds++
	}
	if s.Latency > 0 && !s.Shed && s.Class == balance.Short {
		l.sum += s.Latency
		l.samples++
	}
	if l.all >= windowSamples && now-l.start >= windowTime {
		l.close(now)
	}
}

func (l *learner) close(now time.Duration) {
	slow := false
	if l.samples > 0 {
		slow = l.judge(l.sum / time.Duration(l.samples))
	}
	switch {
	case slow || float64(l.sheds) > shedShare*float64(l.all):
		l.limit = max(l.limit*decrease, l.low)
	case float64(l.peak) >= used*l.limit:
		l.limit = min(l.limit+max(1, l.limit*increase), l.high)
	}
	l.start, l.sum, l.samples, l.sheds, l.all, l.peak = now, 0, 0, 0, 0, 0
}

// judge moves the baseline and tells whether the mean shows congestion.
func (l *learner) judge(mean time.Duration) bool {
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	l.baseline += time.Duration(drift * float64(mean-l.baseline))
	return float64(mean) > congested*float64(l.baseline) && mean-l.baseline > noise
}
