// Package notice decides what follows from what an upstream says of itself in its
// replies: that it is leaving, or that it wants nothing from this instance for a
// time. Limits of its rate are in package quota. It does no I/O and reads no clock.
package notice

import "time"

// Reply is what kind of reply a notice came with.
type Reply uint8

// Kinds of replies.
const (
	// Answer: the upstream ran the request.
	Answer Reply = iota
	// Refusal: the upstream did not run the request.
	Refusal
	// Health: the reply is to a health check, which shows nothing about work.
	Health
)

// Notice is what one reply says.
type Notice struct {
	Reply Reply
	// Leaving is set if the upstream is leaving.
	Leaving bool
	// Pause is how long the upstream wants no request from this instance; 0 if the
	// reply does not say so.
	Pause time.Duration
}

const (
	// MaxPause is the longest pause that counts: no reply takes an upstream out for
	// longer.
	MaxPause = 5 * time.Minute
	// returnSpread is the part of a pause, and maxReturnSpread the longest time, by
	// which instances return later than asked, each at a time of its own.
	returnSpread    = 0.1
	maxReturnSpread = time.Second
	// trialTimeout is how long the first request after a pause may take before another
	// one is sent.
	trialTimeout = 2 * time.Second
)

// Change is what a reply changed.
type Change uint8

// Changes; None is the zero value.
const (
	None Change = iota
	// Left: the upstream is leaving from now on.
	Left
	// Paused: a pause began or became longer.
	Paused
	// Resumed: the upstream has answered a request after a pause.
	Resumed
)

// State is what one registered upstream has said. The zero value is that of an
// upstream that has said nothing; a new registration begins with it. It is not safe for
// concurrent use.
type State struct {
	leaving bool
	// pausedUntil is the end of the pause, with this instance's part of the spread.
	pausedUntil time.Duration
	// resuming is set from a pause on until the upstream has answered a request after
	// it. Meanwhile one request at a time is sent: trialAt is when, 0 for none.
	resuming bool
	trialAt  time.Duration
}

// Observe records what a reply says. random, in [0, 1), spreads the instances' return
// after a pause. An upstream that was leaving stays so: only its next
// registration ends that.
func (s *State) Observe(now time.Duration, n Notice, random float64) Change {
	paused := s.observePause(now, n, random)
	switch {
	case n.Leaving && !s.leaving:
		s.leaving = true
		return Left
	case paused:
		return Paused
	case !s.resuming || now < s.pausedUntil || n.Reply == Health:
		return None
	}
	s.trialAt = 0
	if n.Reply == Refusal {
		return None
	}
	s.resuming = false
	return Resumed
}

// observePause reports whether a pause began or became longer.
func (s *State) observePause(now time.Duration, n Notice, random float64) bool {
	if n.Pause <= 0 {
		return false
	}
	pause := min(n.Pause, MaxPause)
	spread := min(maxReturnSpread, time.Duration(returnSpread*float64(pause)))
	until := now + pause + time.Duration(random*float64(spread))
	if until <= s.pausedUntil {
		return false
	}
	s.pausedUntil, s.resuming, s.trialAt = until, true, 0
	return true
}

// Admission is whether a request may be sent to an upstream.
type Admission struct {
	Admitted bool
	// Leaving is set if the upstream takes no more requests.
	Leaving bool
	// Due is when a request may be sent, unless the upstream is leaving; 0 if that may be
	// at any moment.
	Due time.Duration
}

// Check returns whether a request may be sent now.
func (s *State) Check(now time.Duration) Admission {
	switch {
	case s.leaving:
		return Admission{Leaving: true}
	case now < s.pausedUntil:
		return Admission{Due: s.pausedUntil}
	case s.resuming && s.trialAt > 0 && now < s.trialAt+trialTimeout:
		return Admission{}
	}
	return Admission{Admitted: true}
}

// Take counts a request if it may be sent now, and reports whether it may.
func (s *State) Take(now time.Duration) bool {
	if !s.Check(now).Admitted {
		return false
	}
	if s.resuming {
		s.trialAt = max(now, 1)
	}
	return true
}

// Return gives back a request that Take counted and that was not sent.
func (s *State) Return() { s.trialAt = 0 }

// Blocked reports whether the upstream wants no request now, also not one that was
// admitted before.
func (s *State) Blocked(now time.Duration) bool { return s.leaving || now < s.pausedUntil }

// Leaving reports whether the upstream is leaving.
func (s *State) Leaving() bool { return s.leaving }
