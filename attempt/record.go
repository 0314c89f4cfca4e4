package attempt

import (
	"container/heap"
	"time"
)

// RecordLimits bound a Record.
type RecordLimits struct {
	// Keys is the number of keys held at once.
	Keys int
	// ReplyBytes is the memory for kept replies, all together.
	ReplyBytes int
	// Waiters is the number of repeats that wait for one key's answer.
	Waiters int
}

// DefaultRecordLimits are an entry's limits.
var DefaultRecordLimits = RecordLimits{Keys: 1 << 16, ReplyBytes: 32 << 20, Waiters: 8}

// expireBatch bounds the keys that one refusal looks through.
const expireBatch = 64

// Record keeps, at a key's home, what became of the key until its permit
// expires. It sees to it that a key runs at most once and that a try that was
// told NotRun never runs. It is not safe for concurrent use.
//
// A key is new, in flight, ended (answered or unknown) or sealed. Sealed
// means that every try up to a number was told NotRun; only a higher try may
// run. Where no key can be added, the floor rises to the refused permit's
// expiry: new keys under permits that expire at or before it are refused for
// good, so that the refusal needs no memory of its own.
type Record struct {
	limits RecordLimits
	keys   map[string]*keyed
	byTime expiries
	floor  time.Duration
	now    time.Duration
	bytes  int
}

type state uint8

const (
	inFlight state = iota + 1
	ended
	sealed
)

type keyed struct {
	key     string
	expires time.Duration
	state   state
	digest  uint64
	// highest is the highest try seen; in state sealed, all up to it were
	// told NotRun.
	highest int
	waiters []uint64
	outcome Outcome
	reason  Reason
	reply   *Reply
	expired bool
}

// NewRecord returns an empty Record.
func NewRecord(l RecordLimits) *Record {
	return &Record{limits: l, keys: map[string]*keyed{}}
}

// Action says what a Ruling asks for.
type Action uint8

// Actions of a Ruling.
const (
	// Run: send the call to an upstream, then call End.
	Run Action = iota + 1
	// Join: wait; End of the same key returns the waiter.
	Join
	// Tell: answer with the Ruling's Outcome, Reason and Reply.
	Tell
)

// Ruling is a Record's decision on one try.
type Ruling struct {
	Action  Action
	Outcome Outcome
	Reason  Reason
	// Reply is the kept reply of an answered key.
	Reply *Reply
}

// Try is one try of a keyed call.
type Try struct {
	// Key is the whole Catkin-Key.
	Key    string
	Permit Permit
	// Number is the caller's number of the try, from 1.
	Number int
	// Digest identifies the request's content.
	Digest uint64
	// Waiter identifies the try where it joins.
	Waiter uint64
}

// Begin decides on a try whose permit is genuine and names this incarnation.
// A now that lies before an earlier one is taken as the earlier one: a try
// that was held up must not meet a record that was dropped meanwhile.
func (r *Record) Begin(now time.Duration, t Try) Ruling {
	r.advance(now)
	if t.Permit.Expires <= r.now {
		return tell(Unknown, ReasonPermitExpired)
	}
	if t.Permit.Expires-r.now > MaxLifetime {
		return tell(Unknown, ReasonPermitTooLong)
	}
	if e := r.keys[t.Key]; e != nil {
		return r.repeat(e, t)
	}
	if t.Permit.Expires <= r.floor {
		return tell(NotRun, ReasonRecordFull)
	}
	if len(r.keys) >= r.limits.Keys {
		r.Expire(r.now, expireBatch)
	}
	if len(r.keys) >= r.limits.Keys {
		r.floor = t.Permit.Expires
		return tell(NotRun, ReasonRecordFull)
	}
	e := &keyed{key: t.Key, expires: t.Permit.Expires, state: inFlight, digest: t.Digest, highest: t.Number}
	r.keys[t.Key] = e
	heap.Push(&r.byTime, e)
	return Ruling{Action: Run}
}

func (r *Record) advance(now time.Duration) { r.now = max(r.now, now) }

func (r *Record) repeat(e *keyed, t Try) Ruling {
	if e.digest != t.Digest {
		return tell(Unknown, ReasonKeyReused)
	}
	switch e.state {
	case inFlight:
		if len(e.waiters) >= r.limits.Waiters {
			return tell(Unknown, ReasonTooManyRepeats)
		}
		e.highest = max(e.highest, t.Number)
		e.waiters = append(e.waiters, t.Waiter)
		return Ruling{Action: Join}
	case sealed:
		if t.Number <= e.highest {
			return tell(NotRun, ReasonNotRunEarlier)
		}
		e.state = inFlight
		e.highest = t.Number
		return Ruling{Action: Run}
	}
	return Ruling{Action: Tell, Outcome: e.outcome, Reason: e.reason, Reply: e.reply}
}

// End records how the key's run ended, and returns the repeats that wait for
// it. With NotRun the key is sealed up to the highest try seen, those that
// wait included. A reply that is absent or does not fit is not kept: later
// repeats are told ReasonReplyNotKept.
func (r *Record) End(now time.Duration, key string, o Outcome, why Reason, reply *Reply) []uint64 {
	r.advance(now)
	e := r.keys[key]
	if e == nil || e.state != inFlight {
		return nil
	}
	waiters := e.waiters
	e.waiters = nil
	switch {
	case e.expired:
		delete(r.keys, key)
		return waiters
	case o == NotRun:
		e.state = sealed
		return waiters
	}
	e.state, e.outcome, e.reason = ended, o, why
	if o == Answered {
		r.keep(e, reply)
	}
	return waiters
}

func (r *Record) keep(e *keyed, reply *Reply) {
	if reply == nil || len(reply.Body) > MaxReply || r.bytes+reply.size() > r.limits.ReplyBytes {
		e.outcome, e.reason = Unknown, ReasonReplyNotKept
		return
	}
	e.reply = reply
	r.bytes += reply.size()
}

// Leave takes a waiting repeat out.
func (r *Record) Leave(key string, waiter uint64) {
	e := r.keys[key]
	if e == nil {
		return
	}
	for i, w := range e.waiters {
		if w == waiter {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return
		}
	}
}

// Expire drops at most limit keys whose permits have expired. A key in flight
// stays until End, for those who wait.
func (r *Record) Expire(now time.Duration, limit int) {
	r.advance(now)
	for range limit {
		if len(r.byTime) == 0 || r.byTime[0].expires > r.now {
			return
		}
		e := heap.Pop(&r.byTime).(*keyed)
		if e.reply != nil {
			r.bytes -= e.reply.size()
		}
		if e.state == inFlight {
			e.expired = true
			continue
		}
		delete(r.keys, e.key)
	}
}

// Len is the number of keys held.
func (r *Record) Len() int { return len(r.keys) }

func tell(o Outcome, why Reason) Ruling { return Ruling{Action: Tell, Outcome: o, Reason: why} }

// expiries is a heap of keys, the first to expire on top.
type expiries []*keyed

func (h expiries) Len() int           { return len(h) }
func (h expiries) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiries) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiries) Push(x any)        { *h = append(*h, x.(*keyed)) }

// Pop takes the last element, as container/heap asks.
func (h *expiries) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
