package hotcold

const (
	// hotQuantile is the quantile of recent loads above which a load is hot.
	hotQuantile = 0.75
	// loadBuckets is the number of buckets of the histogram. Loads per slot of
	// loadBuckets*loadStep and more share the last bucket.
	loadBuckets = 64
	// loadStep is the width of a bucket, in load per slot.
	loadStep = 1.0 / 16
	// quantileUpdateInterval is the number of loads between two updates of the
	// estimate.
	quantileUpdateInterval = 32
	// quantileHalvingInterval is the number of loads after which the counts are
	// halved.
	quantileHalvingInterval = 256
)

// quantile estimates a quantile of recent loads from a decaying histogram, in
// constant time per load.
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
	if q.added%quantileUpdateInterval == 0 {
		q.update()
	}
	if q.added%quantileHalvingInterval == 0 {
		q.halve()
	}
}

func (q *quantile) update() {
	rank := uint32(hotQuantile * float64(q.total))
	var sum uint32
	for b, n := range q.counts {
		if sum += n; sum > rank {
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
