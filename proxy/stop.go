package proxy

import "time"

// phase is a phase of a planned stop.
type phase uint8

const (
	// serving: no stop was requested.
	serving phase = iota
	// leaving: this entry's lookups no longer return it, but callers may
	// still have an answer that names it; every call is served.
	leaving
	// closing: every such answer has expired, unless the stop's limit is too
	// short for that; replies tell callers to close their connections.
	closing
	// finishing: no connection is accepted; calls in flight continue.
	finishing
	// stopped: the process may exit.
	stopped
)

// stopTimes are the durations in a planned stop.
type stopTimes struct {
	// staleLookups is how long after the begin other entries' lookups may
	// still return this entry.
	staleLookups time.Duration
	// margin is added for calls that begin just before an answer expires.
	margin time.Duration
	// grace is how long replies tell callers to close their connections.
	grace time.Duration
	// limit bounds the whole stop.
	limit time.Duration
}

// Durations in a planned stop: an entry continues to serve for the sum of
// locate.StaleLookupLimit, the longest lifetime of a lookup's answer and
// stopMargin.
const (
	stopMargin = time.Second
	closeGrace = 500 * time.Millisecond
	// 1/finishDivisor of the limit is reserved for calls in flight, if the
	// limit is too short for the phases before.
	finishDivisor = 4
)

// stopPlan is the state machine of a planned stop. Its methods take the time
// since the process started.
type stopPlan struct {
	phase phase
	// leavingUntil, closingUntil and limit are the ends of the phases leaving
	// and closing and of the whole stop.
	leavingUntil time.Duration
	closingUntil time.Duration
	limit        time.Duration
	// limitTooShort is set if the limit leaves too little time for lookup
	// answers to expire.
	limitTooShort bool
}

// begin starts the stop; lifetime is the longest one of the lookup answers
// that may name this entry. A second begin has no effect.
func (p *stopPlan) begin(now, lifetime time.Duration, t stopTimes) {
	if p.phase != serving {
		return
	}
	p.phase = leaving
	p.limit = now + t.limit
	p.leavingUntil = now + t.staleLookups + lifetime + t.margin
	p.closingUntil = p.leavingUntil + t.grace
	if last := p.limit - t.limit/finishDivisor; p.closingUntil > last {
		p.limitTooShort = true
		p.leavingUntil, p.closingUntil = max(now, last-t.grace), last
	}
}

// step moves to the phase at now and returns it; inFlight is the number of
// calls in flight.
func (p *stopPlan) step(now time.Duration, inFlight int) phase {
	switch {
	case p.phase == serving || p.phase == stopped:
	case now >= p.limit:
		p.phase = stopped
	case now >= p.closingUntil && p.phase >= finishing && inFlight == 0:
		p.phase = stopped
	case now >= p.closingUntil:
		p.phase = finishing
	case now >= p.leavingUntil:
		p.phase = closing
	}
	return p.phase
}
