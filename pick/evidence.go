package pick

import (
	"math"
	"time"
)

// Times and weights of an upstream's outcomes.
const (
	// failureWindow is the time after which an outcome counts half.
	failureWindow = 4 * time.Second
	// priorRequests weigh priorFailures against an upstream's own outcomes.
	priorRequests = 2.0
	priorFailures = 0.01
)

// outcomes counts requests to one upstream; older ones count less.
type outcomes struct {
	total, failed float64
	at            time.Duration
}

func (o *outcomes) fade(now time.Duration) {
	if dt := now - o.at; dt > 0 {
		f := math.Exp2(-float64(dt) / float64(failureWindow))
		o.total, o.failed, o.at = o.total*f, o.failed*f, now
	}
}

// Evidence is what this instance knows of one incarnation of an upstream
// beside its reports. It is not safe for concurrent use.
type Evidence struct {
	outcomes outcomes
	// inFlight are this instance's own requests at the upstream.
	inFlight int
	// sent counts the requests sent, to tell which a report knows of.
	sent int
	// crowded is until when a report makes it likely that there is no use
	// in asking again.
	crowded time.Duration
}

// Times for which an upstream is not asked again.
const (
	// crowdedTrust is a part of the expected wait for a slot.
	crowdedTrust = 0.5
	// slowTrust follows a slow pace, silentTrust no answer: most likely the
	// question itself waits for a slot.
	slowTrust   = 75 * time.Millisecond
	silentTrust = 50 * time.Millisecond
)

// Reported takes a report, whether it shows room and whether it is slow; turn
// is the time that a slot takes for one request.
func (e *Evidence) Reported(now time.Duration, r *Report, room, slow bool, turn time.Duration) {
	e.crowded = 0
	if !room {
		n := max(1, r.ahead(0)-r.Slots+1)
		e.crowded = now + time.Duration(crowdedTrust*float64(n)/float64(max(1, r.Slots))*float64(turn))
	}
	if slow {
		e.crowded = max(e.crowded, now+slowTrust)
	}
}

// Silent takes that the upstream did not answer in time.
func (e *Evidence) Silent(now time.Duration) { e.crowded = now + silentTrust }

// Crowded tells whether the upstream has most likely no use for a request yet.
func (e *Evidence) Crowded(now time.Duration) bool { return now < e.crowded }

// Sent counts a request that goes to the upstream.
func (e *Evidence) Sent() { e.inFlight++; e.sent++ }

// Ended counts the end of a request.
func (e *Evidence) Ended() { e.inFlight-- }

// InFlight returns the number of this instance's requests at the upstream.
func (e *Evidence) InFlight() int { return e.inFlight }

// Mark returns a mark for Since.
func (e *Evidence) Mark() int { return e.sent }

// Since returns the number of requests sent since a Mark.
func (e *Evidence) Since(mark int) int { return e.sent - mark }

// Record takes an outcome. Weight is 1 for a request of this instance, less
// for weaker evidence.
func (e *Evidence) Record(now time.Duration, failed bool, weight float64) {
	e.outcomes.fade(now)
	e.outcomes.total += weight
	if failed {
		e.outcomes.failed += weight
	}
}

// FailureRate estimates the chance that a request fails.
func (e *Evidence) FailureRate(now time.Duration) float64 {
	e.outcomes.fade(now)
	return (e.outcomes.failed + priorRequests*priorFailures) / (e.outcomes.total + priorRequests)
}
