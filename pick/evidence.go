package pick

import (
	"math"
	"time"
)

// Parameters of the failure rate estimate.
const (
	// failureHalfLife is the time in which the weight of an outcome halves.
	failureHalfLife = 4 * time.Second
	// An upstream starts as if priorRequests requests had failed at the rate
	// priorFailureRate.
	priorRequests    = 2.0
	priorFailureRate = 0.01
)

// outcomes holds exponentially decaying counts of the requests to one upstream.
type outcomes struct {
	total, failed float64
	updatedAt     time.Duration
}

func (o *outcomes) decay(now time.Duration) {
	if dt := now - o.updatedAt; dt > 0 {
		f := math.Exp2(-float64(dt) / float64(failureHalfLife))
		o.total, o.failed, o.updatedAt = o.total*f, o.failed*f, now
	}
}

// Evidence is what this instance has measured about one incarnation of an
// upstream, in addition to the upstream's load reports. It is not safe for
// concurrent use.
type Evidence struct {
	outcomes outcomes
	// inFlight is the number of this instance's own requests in flight to the
	// upstream.
	inFlight int
	// sent is the total number of requests sent. Mark and Since use it to
	// count the requests that a load report does not include.
	sent int
	// backoffUntil is the end of the probe backoff: until then another probe
	// would most likely give the same result.
	backoffUntil time.Duration
	silence      Silence
}

// Probe backoff after a report or a missing answer.
const (
	// fullBackoffFactor is multiplied with the expected wait for a slot.
	fullBackoffFactor = 0.5
	// slowBackoff applies after a report of a slow pace.
	slowBackoff = 75 * time.Millisecond
	// noAnswerBackoff applies after a probe without an answer, which most
	// likely waits for a slot itself.
	noAnswerBackoff = 50 * time.Millisecond
	// MaxProbeBackoff bounds the backoff: no report takes an upstream out for longer.
	MaxProbeBackoff = 10 * time.Second
)

// RecordReport records a load report and sets the probe backoff. If room is
// false, the backoff is a part of the expected wait for a slot, computed from
// serviceTime, the time for which one request holds a slot. If slow is true, it
// is at least slowBackoff.
func (e *Evidence) RecordReport(now time.Duration, r *Report, room, slow bool, serviceTime time.Duration) {
	e.backoffUntil = 0
	if !room {
		n := max(1, r.ahead(0)-r.Slots+1)
		wait := fullBackoffFactor * float64(n) / float64(max(1, r.Slots)) * float64(serviceTime)
		e.backoffUntil = now + time.Duration(min(wait, float64(MaxProbeBackoff)))
	}
	if slow {
		e.backoffUntil = max(e.backoffUntil, now+slowBackoff)
	}
}

// RecordNoAnswer records that the upstream did not answer a probe in time.
func (e *Evidence) RecordNoAnswer(now time.Duration) { e.backoffUntil = now + noAnswerBackoff }

// RecordSilentLoss records that a request sent at sentAt was lost without an answer.
func (e *Evidence) RecordSilentLoss(now, sentAt time.Duration) { e.silence.RecordLoss(now, sentAt) }

// RecordReply records a reply to a request.
func (e *Evidence) RecordReply() { e.silence.RecordReply() }

// InBackoff reports whether the upstream is in probe backoff: it is most likely
// still full, slow or not answering, or it has lost requests.
func (e *Evidence) InBackoff(now time.Duration) bool {
	return now < e.backoffUntil || e.silence.Active(now)
}

// Sent counts a request sent to the upstream.
func (e *Evidence) Sent() { e.inFlight++; e.sent++ }

// Ended counts the end of a request.
func (e *Evidence) Ended() { e.inFlight-- }

// InFlight returns the number of this instance's requests in flight to the
// upstream.
func (e *Evidence) InFlight() int { return e.inFlight }

// Mark returns the current count of requests sent, to be passed to Since.
func (e *Evidence) Mark() int { return e.sent }

// Since returns the number of requests sent since the call of Mark that
// returned mark.
func (e *Evidence) Since(mark int) int { return e.sent - mark }

// Record counts the outcome of a request. The weight is 1 for a request of
// this instance and less for indirect evidence.
func (e *Evidence) Record(now time.Duration, failed bool, weight float64) {
	e.outcomes.decay(now)
	e.outcomes.total += weight
	if failed {
		e.outcomes.failed += weight
	}
}

// FailureRate estimates the probability that a request fails, 0 to 1.
func (e *Evidence) FailureRate(now time.Duration) float64 {
	e.outcomes.decay(now)
	return (e.outcomes.failed + priorRequests*priorFailureRate) / (e.outcomes.total + priorRequests)
}
