package hotcold

const (
	// hotQuantile is the share of loads that are cold.
	hotQuantile = 0.75
	// loadBuckets times loadStep is the largest load told apart, per slot.
	loadBuckets = 64
	loadStep    = 1.0 / 16
	// quantileEvery is the number of loads between two updates.
	quantileEvery = 32
	// quantileDecay is the number of loads after which counts are halved.
	quantileDecay = 256
)

// quantile estimates a quantile of recent loads by a decaying histogram, in
// constant time.
type quantile struct {
	value  float64
	counts [loadBuckets]uint32
	total  uint32
	added  uint32
}

func (q *quantile) add(load float64) {
	b := min(int(load/loadStep), loadBuckets-1)
	q.counts[b]++
	q.total++
	q.added++
	if q.added%quantileEvery == 0 {
		q.update()
	}
	if q.added%quantileDecay == 0 {
		q.halve()
	}
}

func (q *quantile) update() {
	want := uint32(hotQuantile * float64(q.total))
	var sum uint32
	for b, n := range q.counts {
		if sum += n; sum > want {
			q.value = float64(b+1) * loadStep
			return
		}
	}
}

func (q *quantile) halve() {
	q.total = 0
	for b := range q.counts {
		q.counts[b] /= 2
		q.total += q.counts[b]
	}
}
