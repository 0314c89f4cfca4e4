package proxy

import "time"

// phase is how far a planned stop has come.
type phase uint8

const (
	// serving: no stop was asked for.
	serving phase = iota
	// leaving: no lookup hands this entry out any more, but callers may
	// still hold an answer that names it; every call is served.
	leaving
	// closing: every such answer has expired; replies ask callers to close
	// their connections.
	closing
	// finishing: no connection is accepted; calls in flight go on.
	finishing
	// stopped: the process may end.
	stopped
)

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// handOut is how long after the begin another entry may still hand this
	// one out.
	handOut time.Duration
	// margin is added for calls that begin at the end of an answer's life.
	margin time.Duration
	// grace is the time in which replies ask for the end of connections.
	grace time.Duration
	// limit bounds the whole stop.
	limit time.Duration
}

// Times of a planned stop: an entry serves on for locate.HandOutLimit, the
// longest lifetime of a lookup's answer and stopMargin.
const (
	stopMargin = time.Second
	closeGrace = 500 * time.Millisecond
	// finishShare of the limit is kept for calls in flight where the limit
	// is too short for everything before.
	finishShare = 4
)

// stopPlan is the state machine of a planned stop. Its methods take the time
// since the process started.
type stopPlan struct {
	phase   phase
	leaveTo time.Duration
	closeTo time.Duration
	limit   time.Duration
	// short is set where the limit leaves too little time for answers to
	// expire.
	short bool
}

// begin starts the stop. The longest life is that of any lookup's answer that
// may name this entry. A second begin changes nothing.
func (p *stopPlan) begin(now, life time.Duration, t stopTimes) {
	if p.phase != serving {
		return
	}
	p.phase = leaving
	p.limit = now + t.limit
	p.leaveTo = now + t.handOut + life + t.margin
	p.closeTo = p.leaveTo + t.grace
	if last := p.limit - t.limit/finishShare; p.closeTo > last {
		p.short = true
		p.leaveTo, p.closeTo = max(now, last-t.grace), last
	}
}

// step returns the phase at now, with the calls in flight given.
func (p *stopPlan) step(now time.Duration, inFlight int) phase {
	switch {
	case p.phase == serving || p.phase == stopped:
	case now >= p.limit:
		p.phase = stopped
	case now >= p.closeTo && p.phase >= finishing && inFlight == 0:
		p.phase = stopped
	case now >= p.closeTo:
		p.phase = finishing
	case now >= p.leaveTo:
		p.phase = closing
	}
	return p.phase
}
