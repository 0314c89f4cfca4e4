package metrics

import (
	"math"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	gometrics "github.com/rcrowley/go-metrics"
)

// Range and precision of a Histogram.
const (
	maxValue          = int64(60_000_000)
	significantDigits = 3
)

// Histogram is a go-metrics histogram backed by an HDR histogram: it records
// every value with three significant digits, whereas a go-metrics sample keeps
// only some of the values. Values above 60,000,000 are recorded as 60,000,000
// and negative values as 0. It is safe for concurrent use.
type Histogram struct {
	mu  sync.Mutex
	h   *hdrhistogram.Histogram
	sum int64
}

var _ gometrics.Histogram = (*Histogram)(nil)

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, maxValue, significantDigits)}
}

// Update records v.
func (h *Histogram) Update(v int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values outside the range.
	_ = h.h.RecordValue(min(max(v, 0), maxValue))
	h.sum += v
}

// Clear removes all recorded values.
func (h *Histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.h.Reset()
	h.sum = 0
}

// Snapshot returns a copy that later updates do not change.
func (h *Histogram) Snapshot() gometrics.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &Histogram{h: hdrhistogram.Import(h.h.Export()), sum: h.sum}
}

// Count returns the number of recorded values.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.TotalCount()
}

// Sum returns the sum of the values as passed to Update, without the limit on
// recorded values.
func (h *Histogram) Sum() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum
}

// Min returns the lowest recorded value.
func (h *Histogram) Min() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.Min()
}

// Max returns the highest recorded value.
func (h *Histogram) Max() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.Max()
}

// Mean returns the mean of the recorded values.
func (h *Histogram) Mean() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.Mean()
}

// StdDev returns the standard deviation of the recorded values.
func (h *Histogram) StdDev() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.StdDev()
}

// Variance returns the variance of the recorded values.
func (h *Histogram) Variance() float64 { return math.Pow(h.StdDev(), 2) }

// Percentile returns the value at quantile p, between 0 and 1.
func (h *Histogram) Percentile(p float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.h.ValueAtQuantile(100 * p))
}

// Percentiles returns the values at the quantiles ps, each between 0 and 1.
func (h *Histogram) Percentiles(ps []float64) []float64 {
	out := make([]float64, len(ps))
	for i, p := range ps {
		out[i] = h.Percentile(p)
	}
	return out
}

// Sample returns an empty sample: a Histogram keeps counts per bucket and not
// the values themselves.
func (h *Histogram) Sample() gometrics.Sample { return gometrics.NilSample{} }
