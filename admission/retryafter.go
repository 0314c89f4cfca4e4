package admission

import "time"

// Limits of the time after which a rejected caller is told to return.
const (
	// MinRetryAfter is the least time; a slot may become free at any moment.
	MinRetryAfter = 40 * time.Millisecond
	// maxRetryShare is the share of its time left up to which a caller honours
	// Retry-After.
	maxRetryShare = 1.0 / 3
)

// priorityClasses is the number of priorities that are told apart: 0 to 9 and the rest.
const priorityClasses = 11

// classOf returns the index of a priority among the priorityClasses.
func classOf(priority int) int { return min(max(priority, 0), priorityClasses-1) }

// Returns holds the returns promised to the rejected callers of a service. Each is given
// the next place after the calls that wait and the callers that were told to return
// before, so that they return at the rate at which slots become free. It answers the
// return of all callers after an outage, and bursts. The zero value is ready for use.
type Returns struct {
	// next is the time of the next free place, by class of priority. A caller also comes
	// after the places of more urgent classes.
	next [priorityClasses]time.Duration
}

// Promise returns after how long a rejected caller has a chance, given the slots freed
// per second and the number of calls ahead of it in the order. The result is between
// MinRetryAfter and what the caller honours of its time left.
func (r *Returns) Promise(now time.Duration, priority int, slotsPerSecond float64, ahead int, timeLeft time.Duration) time.Duration {
	limit := MaxRetryAfter(timeLeft)
	if slotsPerSecond <= 0 {
		return limit
	}
	place := now + toDuration(float64(ahead)/slotsPerSecond)
	own := classOf(priority)
	for _, t := range r.next[:own+1] {
		place = max(place, t)
	}
	if place-now >= limit {
		return limit // the place is too late for this caller, and left to others
	}
	r.next[own] = place + toDuration(1/slotsPerSecond)
	return max(MinRetryAfter, place-now)
}

// MaxRetryAfter returns the longest time that a caller with the given time left honours.
func MaxRetryAfter(timeLeft time.Duration) time.Duration {
	return max(MinRetryAfter, time.Duration(maxRetryShare*float64(timeLeft)))
}

// toDuration converts seconds. It limits them to an hour, which no caller waits, so that
// the result cannot overflow.
func toDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}
