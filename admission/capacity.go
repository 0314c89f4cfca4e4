package admission

import "time"

// bucketWidth is the resolution of Rate.
const bucketWidth = 100 * time.Millisecond

// Windows over which Rate counts.
const (
	shortWindow = time.Second
	longWindow  = 10 * time.Second
)

// Rate measures at which rate the slots of a service become free for this instance. The
// zero value is ready for use.
type Rate struct {
	// buckets is a ring: a bucket whose number is too old counts as empty.
	buckets [longWindow / bucketWidth]struct {
		number int64 // of the bucket since the clock's start, plus 1
		count  float64
	}
}

// Add counts one freed slot.
func (r *Rate) Add(now time.Duration) {
	number := int64(now/bucketWidth) + 1
	b := &r.buckets[number%int64(len(r.buckets))]
	if b.number != number {
		b.number, b.count = number, 0
	}
	b.count++
}

// PerSecond returns the slots freed per second in the last second. It answers upstreams
// whose pace changes within a second.
func (r *Rate) PerSecond(now time.Duration) float64 { return r.over(now, shortWindow) }

// Expected returns the slots per second to be expected: the higher of the rates over the
// short and the long window. It answers the first moments after an outage, when no slot
// was freed in the last second.
func (r *Rate) Expected(now time.Duration) float64 {
	return max(r.over(now, shortWindow), r.over(now, longWindow))
}

// over returns the slots freed per second in the last window.
func (r *Rate) over(now, window time.Duration) float64 {
	newest := int64(now/bucketWidth) + 1
	oldest := newest - int64(window/bucketWidth) + 1
	total := 0.0
	for i := range r.buckets {
		if b := &r.buckets[i]; b.number >= oldest && b.number <= newest {
			total += b.count
		}
	}
	return total / window.Seconds()
}

// Longest tracks the longest duration seen within the last minute: the deadlines of a
// route's first requests, and the targets of a service's routes. The zero value is ready
// for use.
type Longest struct {
	// buckets is a ring: a bucket whose number is too old counts as empty.
	buckets [longestBuckets]struct {
		number int64 // of the bucket since the clock's start, plus 1
		value  time.Duration
	}
}

// A minute in buckets of 5 s.
const (
	longestBuckets     = 12
	longestBucketWidth = 5 * time.Second
)

// Add records one duration.
func (l *Longest) Add(now, d time.Duration) {
	number := int64(now/longestBucketWidth) + 1
	b := &l.buckets[number%longestBuckets]
	if b.number != number {
		b.number, b.value = number, 0
	}
	b.value = max(b.value, d)
}

// Value returns the longest duration, 0 if there was none.
func (l *Longest) Value(now time.Duration) (longest time.Duration) {
	newest := int64(now/longestBucketWidth) + 1
	for i := range l.buckets {
		if b := &l.buckets[i]; b.number > newest-longestBuckets && b.number <= newest {
			longest = max(longest, b.value)
		}
	}
	return longest
}

// Bound returns how many calls of a service may wait: as many as slots are expected to
// become free within the longest target of its routes, or one for each upstream if that
// is not measured yet. It answers a flood: what waits beyond it is answered late or
// never, and the caller learns of it only then.
func Bound(slotsPerSecond float64, longestTarget time.Duration, upstreams int) int {
	if slotsPerSecond <= 0 {
		return max(1, upstreams)
	}
	return max(1, int(slotsPerSecond*longestTarget.Seconds()))
}
