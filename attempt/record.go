package attempt

import (
	"container/heap"
	"time"
)

// RecordLimits are the limits of a Record.
type RecordLimits struct {
	// Keys is the largest number of keys held at once.
	Keys int
	// ReplyBytes is the largest total size of the kept replies, in bytes.
	ReplyBytes int
	// Waiters is the largest number of repeats that wait for one key's answer.
	Waiters int
}

// DefaultRecordLimits are the limits of an entry's Record.
var DefaultRecordLimits = RecordLimits{Keys: 1 << 16, ReplyBytes: 32 << 20, Waiters: 8}

// expireBatch is the largest number of expired keys that Begin drops when the
// Record is full.
const expireBatch = 64

// Record holds, at the home of a key, the state and the result of the key until
// its permit expires. It guarantees that a key runs at most once, and that a try
// that was answered with NotRun never runs. It is not safe for concurrent use.
//
// A key is new, in flight, completed (answered or unknown) or fenced. Fenced
// means that every try up to a number was answered with NotRun; only a try with
// a higher number may run. If the Record is full, a new key is refused and
// refusedExpiry rises to the expiry of its permit: from then on, all new keys
// under permits that expire at or before refusedExpiry are refused. A refused
// key can thus never run later, and takes no memory.
type Record struct {
	limits        RecordLimits
	keys          map[string]*keyState
	byExpiry      expiryHeap
	refusedExpiry time.Duration
	now           time.Duration
	replyBytes    int
}

type state uint8

const (
	inFlight state = iota + 1
	completed
	fenced
)

// keyState is a key that a Record holds. New keys are not held, so there is no
// state for them.
type keyState struct {
	key     string
	expires time.Duration
	state   state
	digest  uint64
	// highestTry is the highest number of a try seen. In state fenced, all tries
	// up to it were answered with NotRun.
	highestTry int
	waiters    []uint64
	outcome    Outcome
	reason     Reason
	reply      *Reply
	// expired is set if the permit expired while the key was in flight.
	expired bool
}

// NewRecord returns an empty Record.
func NewRecord(l RecordLimits) *Record {
	return &Record{limits: l, keys: map[string]*keyState{}}
}

// Action is what the caller of Begin must do with a try.
type Action uint8

// Actions of a Decision.
const (
	// Run: send the call to an upstream, then call End.
	Run Action = iota + 1
	// Join: wait for the run in flight; End returns the try's Waiter.
	Join
	// Respond: answer with the Decision's Outcome, Reason and Reply.
	Respond
)

// Decision is a Record's decision on one try.
type Decision struct {
	Action  Action
	Outcome Outcome
	Reason  Reason
	// Reply is the kept reply if the Outcome is Answered.
	Reply *Reply
}

// Try is one try of a keyed call.
type Try struct {
	// Key is the whole Catkin-Key.
	Key    string
	Permit Permit
	// Number is the number of the try, counted by the caller from 1.
	Number int
	// Digest identifies the request's content.
	Digest uint64
	// Waiter identifies the try if it joins a run in flight.
	Waiter uint64
}

// Begin decides on a try whose permit was verified and names this incarnation.
// Time never goes back: if now is before the now of an earlier call, the earlier
// one is used. Otherwise the permit of a delayed try could count as valid after
// its key was dropped, and the key could run twice.
func (r *Record) Begin(now time.Duration, t Try) Decision {
	r.advance(now)
	if t.Permit.Expires <= r.now {
		return respond(Unknown, ReasonPermitExpired)
	}
	if t.Permit.Expires-r.now > MaxLifetime {
		return respond(Unknown, ReasonPermitTooLong)
	}
	if k := r.keys[t.Key]; k != nil {
		return r.repeat(k, t)
	}
	if t.Permit.Expires <= r.refusedExpiry {
		return respond(NotRun, ReasonRecordFull)
	}
	if len(r.keys) >= r.limits.Keys {
		r.Expire(r.now, expireBatch)
	}
	if len(r.keys) >= r.limits.Keys {
		r.refusedExpiry = t.Permit.Expires
		return respond(NotRun, ReasonRecordFull)
	}
	k := &keyState{key: t.Key, expires: t.Permit.Expires, state: inFlight, digest: t.Digest, highestTry: t.Number}
	r.keys[t.Key] = k
	heap.Push(&r.byExpiry, k)
	return Decision{Action: Run}
}

// advance sets the time to now, unless it is later already.
func (r *Record) advance(now time.Duration) { r.now = max(r.now, now) }

// repeat decides on a try of a key that is held.
func (r *Record) repeat(k *keyState, t Try) Decision {
	if k.digest != t.Digest {
		return respond(Unknown, ReasonKeyReused)
	}
	switch k.state {
	case inFlight:
		if len(k.waiters) >= r.limits.Waiters {
			return respond(Unknown, ReasonTooManyRepeats)
		}
		k.highestTry = max(k.highestTry, t.Number)
		k.waiters = append(k.waiters, t.Waiter)
		return Decision{Action: Join}
	case fenced:
		if t.Number <= k.highestTry {
			return respond(NotRun, ReasonNotRunEarlier)
		}
		k.state = inFlight
		k.highestTry = t.Number
		return Decision{Action: Run}
	}
	return Decision{Action: Respond, Outcome: k.outcome, Reason: k.reason, Reply: k.reply}
}

// End records the result of the key's run, and returns the waiters that joined
// it. With NotRun the key is fenced up to the highest try seen, including those
// that wait. A reply that is nil, larger than MaxReplyBytes or does not fit in
// the remaining ReplyBytes is not kept: later repeats are answered with
// ReasonReplyNotKept.
func (r *Record) End(now time.Duration, key string, o Outcome, reason Reason, reply *Reply) []uint64 {
	r.advance(now)
	k := r.keys[key]
	if k == nil || k.state != inFlight {
		return nil
	}
	waiters := k.waiters
	k.waiters = nil
	switch {
	case k.expired:
		delete(r.keys, key)
		return waiters
	case o == NotRun:
		k.state = fenced
		return waiters
	}
	k.state, k.outcome, k.reason = completed, o, reason
	if o == Answered {
		r.keep(k, reply)
	}
	return waiters
}

// keep stores the reply of an answered key, or marks the key as one whose reply
// is not kept.
func (r *Record) keep(k *keyState, reply *Reply) {
	if reply == nil || len(reply.Body) > MaxReplyBytes || r.replyBytes+reply.size() > r.limits.ReplyBytes {
		k.outcome, k.reason = Unknown, ReasonReplyNotKept
		return
	}
	k.reply = reply
	r.replyBytes += reply.size()
}

// RemoveWaiter removes a waiter that End has not returned yet.
func (r *Record) RemoveWaiter(key string, waiter uint64) {
	k := r.keys[key]
	if k == nil {
		return
	}
	for i, w := range k.waiters {
		if w == waiter {
			k.waiters = append(k.waiters[:i], k.waiters[i+1:]...)
			return
		}
	}
}

// Expire drops the keys whose permits have expired, at most limit of them. A key
// in flight is kept until End, which returns its waiters.
func (r *Record) Expire(now time.Duration, limit int) {
	r.advance(now)
	for range limit {
		if len(r.byExpiry) == 0 || r.byExpiry[0].expires > r.now {
			return
		}
		k := heap.Pop(&r.byExpiry).(*keyState)
		if k.reply != nil {
			r.replyBytes -= k.reply.size()
		}
		if k.state == inFlight {
			k.expired = true
			continue
		}
		delete(r.keys, k.key)
	}
}

// Len returns the number of keys held.
func (r *Record) Len() int { return len(r.keys) }

// respond returns the Decision to answer with o and reason.
func respond(o Outcome, reason Reason) Decision {
	return Decision{Action: Respond, Outcome: o, Reason: reason}
}

// expiryHeap is a min-heap of keys by the expiry of their permits.
type expiryHeap []*keyState

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*keyState)) }

// Pop removes the last element; it implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	k := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return k
}
