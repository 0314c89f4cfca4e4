package attempt

import "time"

// Quantile estimates a quantile of a stream of latencies in constant space, by
// stochastic approximation (H. Robbins and S. Monro, 1951) with steps
// proportional to the estimate. The zero Quantile has no estimate.
type Quantile struct {
	value   float64 // nanoseconds
	samples int
}

const (
	// quantileStep is the step size, relative to the estimate.
	quantileStep = 0.05
	// minQuantileSamples is the number of samples needed for an estimate.
	minQuantileSamples = 32
)

// Add adds a sample to the estimate of the p-quantile, 0 < p < 1.
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

// Value returns the estimate. It returns false if there are too few samples.
func (q *Quantile) Value() (time.Duration, bool) {
	return time.Duration(q.value), q.samples >= minQuantileSamples
}
