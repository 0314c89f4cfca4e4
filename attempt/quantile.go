package attempt

import "time"

// Quantile follows a quantile of a stream of latencies in constant space, by
// stochastic approximation (Robbins and Monro) with steps in proportion to
// the estimate. The zero Quantile has no estimate.
type Quantile struct {
	value   float64 // nanoseconds
	samples int
}

const (
	// quantileStep is the relative size of a step.
	quantileStep = 0.05
	// quantileReady is the number of samples before an estimate is given.
	quantileReady = 32
)

// Add takes a latency, for the quantile p between 0 and 1.
func (q *Quantile) Add(d time.Duration, p float64) {
	v := float64(d)
	q.samples++
	switch {
	case q.samples == 1:
		q.value = v
	case v > q.value:
		q.value += q.value * quantileStep * p
	case v < q.value:
		q.value -= q.value * quantileStep * (1 - p)
	}
}

// Value returns the estimate; false before there are enough samples.
func (q *Quantile) Value() (time.Duration, bool) {
	return time.Duration(q.value), q.samples >= quantileReady
}
