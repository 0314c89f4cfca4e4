package ratelimit

import (
	"math"
	"time"
)

// meter estimates a rate of events per second, as an exponentially weighted average.
type meter struct {
	perSecond float64
	at        time.Duration
}

// add counts n events. An event weighs 1/e after window.
func (m *meter) add(now time.Duration, n float64, window time.Duration) {
	m.perSecond = m.rate(now, window) + n/window.Seconds()
	m.at = now
}

// rate returns the rate of events per second now.
func (m *meter) rate(now, window time.Duration) float64 {
	return m.perSecond * math.Exp(-(now-m.at).Seconds()/window.Seconds())
}
