// Package entry joins the request decisions of one entry instance into one
// state machine: events go in, steps come out. It does no I/O, starts no
// goroutines and reads no clock: every method takes the time since the entry
// started. A Node is not safe for concurrent use; its owner serialises calls.
package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
)

// Call is one caller request, as far as decisions need it.
type Call struct {
	// ID is unique within the Node, chosen by its owner.
	ID      uint64
	Service string
	Method  string
	Path    string
	// Key and Try are the headers Catkin-Key and Catkin-Try.
	Key string
	Try int
	// Caller names the caller, for fairness.
	Caller string
	// Timeout is the time left for the call; 0 takes the service's default.
	Timeout time.Duration
	// Depth is the number of calls above this one.
	Depth int
	// RetriesSpent forbids retries.
	RetriesSpent bool
	// Forwarded is set on a call that another entry forwarded.
	Forwarded bool
	// BodyBytes is the size of the request's body; 0 where not known.
	BodyBytes int
	// Digest is a hash of the request's whole URI and body (of the URI alone
	// where the body is streamed). Repeats of a Key must have the same.
	Digest uint64
	// Streamed bodies can be sent only once.
	Streamed bool
}

// StepKind says what a Step asks of the Node's owner.
type StepKind uint8

// Kinds of steps.
const (
	// StepSend sends the call to Upstream as Attempt, and reports Finished.
	StepSend StepKind = iota + 1
	// StepForward sends the call to the entry at Address, and reports
	// Finished with the entry's answer.
	StepForward
	// StepAnswer answers the caller. With Outcome Answered the body is the
	// stored Reply, or else the reply of Attempt. Each call gets exactly one
	// StepAnswer, unless it is cancelled. It can come while Attempt, or
	// another attempt of the call, is still going on.
	StepAnswer
	// StepCancel gives up Attempt: its connection is closed. Finished need
	// not be called for it; where it is, it is ignored.
	StepCancel
	// StepProbe asks Upstream for its load, and reports Probed.
	StepProbe
)

// Step is something for the Node's owner to do.
type Step struct {
	Kind StepKind
	// Call is the call concerned; 0 for StepProbe.
	Call uint64
	// Attempt identifies a send or forward.
	Attempt uint64
	// Service and Upstream name the target of StepSend and StepProbe.
	Service  string
	Upstream string
	// Address is the target's IP address and port.
	Address string
	// Fresh asks for a connection that carried no request before.
	Fresh bool
	// Record asks that the whole reply is passed to Finished, since the
	// Node keeps it for repeats of the call. A reply above attempt.MaxReply
	// bytes need not be passed.
	Record bool
	// Timeout is the time left for the attempt.
	Timeout time.Duration
	// RetriesSpent is to be marked on the request, or on the answer.
	RetriesSpent bool
	Outcome      attempt.Outcome
	// Reason says why a call was not answered, or why StepSend sends it once
	// more; empty for a first attempt.
	Reason attempt.Reason
	// RetryAfter is a hint to the caller; 0 for none.
	RetryAfter time.Duration
	// Reply is a stored reply to send; nil where Attempt holds it.
	Reply *attempt.Reply
}

// Result tells how an attempt ended.
type Result struct {
	// Wrote is set once a byte of the request may have left this process.
	Wrote bool
	// Err is set where no whole reply was read.
	Err error
	// Status is the reply's HTTP status.
	Status int
	// Shed is set where the upstream said that it did not run the request.
	Shed bool
	// Leaving is set where the upstream said that it is draining.
	Leaving bool
	// RetriesSpent is set where the reply says so.
	RetriesSpent bool
	// Load is the upstream's report; nil for none.
	Load *balance.Load
	// Outcome and Reason are set by another entry's answer to a forward.
	Outcome attempt.Outcome
	Reason  attempt.Reason
	// RetryAfter is the reply's own hint; 0 for none.
	RetryAfter time.Duration
	// Reply is the whole reply, where the Step asked for it.
	Reply *attempt.Reply
}
