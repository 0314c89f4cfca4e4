package health

import (
	"slices"
	"time"
)

const (
	// outlierFactor is the ratio of an upstream's mean latency to the median of
	// the upstreams above which the upstream is an outlier.
	outlierFactor = 4
	// outlierWindows is the number of consecutive windows in which an upstream
	// must be an outlier to be ejected.
	outlierWindows = 2
	// minWindowRequests is the number of requests that an upstream needs in a
	// window for its latency to be compared.
	minWindowRequests = 5
	// minMedianUpstreams is the number of upstreams needed for a median.
	minMedianUpstreams = 3
)

// latencyWindow holds an upstream's latency of short work in the current window.
type latencyWindow struct {
	sum time.Duration
	n   int
	// outliers is the number of consecutive windows in which the upstream was
	// an outlier.
	outliers int
}

func (w *latencyWindow) add(d time.Duration) {
	w.sum += d
	w.n++
}

// mean returns the mean latency of the window, or false if there are too few
// requests.
func (w *latencyWindow) mean() (time.Duration, bool) {
	if w.n < minWindowRequests {
		return 0, false
	}
	return w.sum / time.Duration(w.n), true
}

// ejectOutliers ends a window: it ejects the upstreams whose mean latency was an
// outlier in outlierWindows consecutive windows.
func (t *Tracker) ejectOutliers(now time.Duration) {
	var means []time.Duration
	for i := range t.upstreams {
		if m, ok := t.upstreams[i].latency.mean(); ok {
			means = append(means, m)
		}
	}
	var median time.Duration
	if len(means) >= minMedianUpstreams {
		slices.Sort(means)
		median = means[len(means)/2]
	}
	for i := range t.upstreams {
		w := &t.upstreams[i].latency
		m, ok := w.mean()
		w.sum, w.n = 0, 0
		if !ok || median == 0 || m <= outlierFactor*median {
			w.outliers = 0
			continue
		}
		if w.outliers++; w.outliers >= outlierWindows {
			t.eject(now, i)
		}
	}
}
