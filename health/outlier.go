package health

import (
	"slices"
	"time"
)

const (
	// slowFactor times the median latency is an outlier.
	slowFactor = 4
	// slowWindows in a row eject.
	slowWindows = 2
	// slowRequests is the number of requests that a window must have.
	slowRequests = 5
	// slowUpstreams is the number of upstreams that a median needs.
	slowUpstreams = 3
)

// slowCount compares an upstream's latency of short work with the others'.
type slowCount struct {
	sum   time.Duration
	n     int
	inRow int
}

func (c *slowCount) add(d time.Duration) {
	c.sum += d
	c.n++
}

func (c *slowCount) mean() (time.Duration, bool) {
	if c.n < slowRequests {
		return 0, false
	}
	return c.sum / time.Duration(c.n), true
}

// compare ends a window: it ejects upstreams whose mean latency was an outlier
// for some windows in a row.
func (t *Tracker) compare(now time.Duration) {
	var means []time.Duration
	for i := range t.upstreams {
		if m, ok := t.upstreams[i].slow.mean(); ok {
			means = append(means, m)
		}
	}
	var median time.Duration
	if len(means) >= slowUpstreams {
		slices.Sort(means)
		median = means[len(means)/2]
	}
	for i := range t.upstreams {
		c := &t.upstreams[i].slow
		m, ok := c.mean()
		c.sum, c.n = 0, 0
		if !ok || median == 0 || m <= slowFactor*median {
			c.inRow = 0
			continue
		}
		if c.inRow++; c.inRow >= slowWindows {
			t.eject(now, i)
		}
	}
}
