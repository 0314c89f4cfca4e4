package limit

import (
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

// adaptiveLimit is a concurrency limit that is adjusted by additive increase
// and multiplicative decrease. As in TCP Vegas, the sign of congestion is
// latency above its baseline. It compares the means of windows, since the
// latencies of single calls vary too much.
type adaptiveLimit struct {
	limit, low, high float64
	// baseline is the lowest recent window mean; it drifts up slowly.
	baseline time.Duration
	// State of the current window:
	start      time.Duration
	latencySum time.Duration
	samples    int // number of latencies in latencySum
	sheds      int
	calls      int
	// peakRunning is the largest number of calls that ran at once.
	peakRunning int
}

const (
	// A window ends once it is minWindowDuration long and has minWindowCalls.
	minWindowDuration = 20 * time.Millisecond
	minWindowCalls    = 32
	// congestionRatio is the ratio of a window's mean latency to the baseline
	// above which the limit is lowered.
	congestionRatio = 1.5
	// minCongestionRise is the rise over the baseline up to which latency is
	// never taken for congestion.
	minCongestionRise = 500 * time.Microsecond
	// maxShedShare is the share of calls shed by upstreams above which the
	// limit is lowered.
	maxShedShare = 0.01
	// decreaseFactor is the factor by which a congested window lowers the limit.
	decreaseFactor = 0.9
	// increaseShare is the rise per window, as a share of the limit.
	increaseShare = 0.05
	// minUsedShare is the share of the limit that must be in use at the peak of
	// a window for the limit to rise.
	minUsedShare = 0.8
	// baselineDrift is the share of its distance to the window mean by which
	// the baseline rises per window.
	baselineDrift = 0.01
)

// setBounds sets the range of the limit. The limit starts at low.
func (l *adaptiveLimit) setBounds(low, high float64) {
	l.low, l.high = low, high
	if l.limit == 0 {
		l.limit = low
	}
	l.limit = min(max(l.limit, low), high)
}

// add counts a finished call, and ends the window if it is complete.
func (l *adaptiveLimit) add(now time.Duration, s Sample) {
	l.calls++
	if s.Shed {
		l.sheds++
	}
	if s.Latency > 0 && !s.Shed && s.Class == balance.Short {
		l.latencySum += s.Latency
		l.samples++
	}
	if l.calls >= minWindowCalls && now-l.start >= minWindowDuration {
		l.endWindow(now)
	}
}

// endWindow adjusts the limit by the evidence of the window and starts the
// next one.
func (l *adaptiveLimit) endWindow(now time.Duration) {
	congested := false
	if l.samples > 0 {
		congested = l.observeMean(l.latencySum / time.Duration(l.samples))
	}
	switch {
	case congested || float64(l.sheds) > maxShedShare*float64(l.calls):
		l.limit = max(l.limit*decreaseFactor, l.low)
	case float64(l.peakRunning) >= minUsedShare*l.limit:
		l.limit = min(l.limit+max(1, l.limit*increaseShare), l.high)
	}
	l.start, l.latencySum, l.samples, l.sheds, l.calls, l.peakRunning = now, 0, 0, 0, 0, 0
}

// observeMean updates the baseline with a window's mean latency and reports
// whether the mean shows congestion.
func (l *adaptiveLimit) observeMean(mean time.Duration) bool {
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	l.baseline += time.Duration(baselineDrift * float64(mean-l.baseline))
	return float64(mean) > congestionRatio*float64(l.baseline) && mean-l.baseline > minCongestionRise
}
