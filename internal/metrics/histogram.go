package metrics

import (
	"math"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	gometrics "github.com/rcrowley/go-metrics"
)

// Bounds of a Histogram's values.
const (
	highest = int64(60_000_000)
	digits  = 3
)

// Histogram counts every value up to 60,000,000 with three digits, where a
// go-metrics sample would keep a few. Higher values count as the highest. It
// is safe for concurrent use.
type Histogram struct {
	mu  sync.Mutex
	h   *hdrhistogram.Histogram
	sum int64
}

var _ gometrics.Histogram = (*Histogram)(nil)

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, highest, digits)}
}

// Update counts v.
func (h *Histogram) Update(v int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A value within the bounds is always taken.
	_ = h.h.RecordValue(min(max(v, 0), highest))
	h.sum += v
}

// Clear forgets every value.
func (h *Histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.h.Reset()
	h.sum = 0
}

// Snapshot returns a copy.
func (h *Histogram) Snapshot() gometrics.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &Histogram{h: hdrhistogram.Import(h.h.Export()), sum: h.sum}
}

// Count returns the number of values.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.TotalCount()
}

// Sum returns the sum of the values.
func (h *Histogram) Sum() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum
}

// Min returns the lowest value.
func (h *Histogram) Min() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.Min()
}

// Max returns the highest value.
func (h *Histogram) Max() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.Max()
}

// Mean returns the mean of the values.
func (h *Histogram) Mean() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.Mean()
}

// StdDev returns the standard deviation of the values.
func (h *Histogram) StdDev() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.StdDev()
}

// Variance returns the variance of the values.
func (h *Histogram) Variance() float64 { return math.Pow(h.StdDev(), 2) }

// Percentile returns the value at p, a fraction between 0 and 1.
func (h *Histogram) Percentile(p float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.h.ValueAtQuantile(100 * p))
}

// Percentiles returns the values at ps, fractions between 0 and 1.
func (h *Histogram) Percentiles(ps []float64) []float64 {
	out := make([]float64, len(ps))
	for i, p := range ps {
		out[i] = h.Percentile(p)
	}
	return out
}

// Sample returns an empty sample: a Histogram keeps counts, not values.
func (h *Histogram) Sample() gometrics.Sample { return gometrics.NilSample{} }
