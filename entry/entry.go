// Package entry combines the per-request decisions of one entry instance
// (admission, queueing, picking an upstream, retries, hedges and at-most-once
// calls) in one state machine: the Node's owner reports events and carries out
// the steps that are returned. The package does no I/O, starts no goroutines
// and reads no clock: methods take the time since the entry started. A Node is
// not safe for concurrent use; its owner serialises calls.
//
// A keyed call carries a Catkin-Key, which begins with a signed permit. The
// permit names one incarnation of one entry, the key's home. Only the home
// sends the call to an upstream, and its record of keys keeps the call from
// running twice.
package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
)

// Call describes a caller's request, as far as decisions depend on it.
type Call struct {
	// ID is chosen by the Node's owner and unique within the Node.
	ID      uint64
	Service string
	Method  string
	Path    string
	// Key and Try are the values of the headers Catkin-Key and Catkin-Try.
	Key string
	Try int
	// Caller identifies the caller; the queue is fair between callers.
	Caller string
	// Timeout is the time left for the call; 0 means the service's default.
	Timeout time.Duration
	// Depth is the number of calls above this one in the call chain.
	Depth int
	// RetriesSpent forbids retries: another layer of the call chain has
	// already retried.
	RetriesSpent bool
	// Forwarded is set on a call that another entry forwarded.
	Forwarded bool
	// BodyBytes is the size of the request's body; 0 if unknown.
	BodyBytes int
	// Digest is a hash of the request's URI and body, or of the URI alone if
	// the body is streamed. Repeats of a Key must have the same Digest.
	Digest uint64
	// CredentialsDigest is a hash of the caller's credentials.
	CredentialsDigest uint64
	// Streamed is set if the body is not buffered, so that it can be sent only
	// once.
	Streamed bool
}

// StepKind is the kind of action that a Step requires.
type StepKind uint8

// Kinds of steps.
const (
	// StepSend sends the call to Upstream as Attempt. Its end is reported by
	// Finished.
	StepSend StepKind = iota + 1
	// StepForward sends the call to the entry at Address. The entry's answer
	// is reported by Finished.
	StepForward
	// StepAnswer answers the caller. If Outcome is Answered, the body is the
	// recorded Reply, or else the reply of Attempt. Each call gets exactly one
	// StepAnswer, unless it is cancelled. Attempt, or another attempt of the
	// call, may still be in progress.
	StepAnswer
	// StepCancel cancels Attempt by closing its connection. Finished need not
	// be called for it, and is ignored if it is.
	StepCancel
	// StepProbe requests a load report from Upstream. The result is reported
	// by Probed.
	StepProbe
)

// Step is an action that the Node's owner carries out.
type Step struct {
	Kind StepKind
	// Call is the ID of the call; 0 for StepProbe.
	Call uint64
	// Attempt identifies a send or a forward.
	Attempt uint64
	// Service and Upstream name the target of StepSend and StepProbe.
	Service  string
	Upstream string
	// Address is the target's IP address and port.
	Address string
	// NewConnection requires a new connection, one that has carried no request. A
	// reused one may be closed by the upstream during the write, and HTTP
	// libraries then send the request again by themselves.
	NewConnection bool
	// KeepReply requires that the complete reply is passed to Finished, because
	// the Node keeps it for repeats of the call. A reply with a body
	// above attempt.MaxReplyBytes need not be passed.
	KeepReply bool
	// Timeout is the time left for the attempt.
	Timeout time.Duration
	// RetriesSpent is set if the request or the answer must carry the
	// Catkin-Retries-Spent header.
	RetriesSpent bool
	Outcome      attempt.Outcome
	// Reason is why a call was not answered, or why StepSend sends it again;
	// empty for a first attempt.
	Reason attempt.Reason
	// RetryAfter is a hint for the caller; 0 for none.
	RetryAfter time.Duration
	// Reply is a recorded reply to send; nil if the reply is that of Attempt.
	Reply *attempt.Reply
}

// Result describes how an attempt ended.
type Result struct {
	// MayHaveSent is set if any byte of the request may have left this process.
	MayHaveSent bool
	// Err is set if no complete reply was read.
	Err error
	// Status is the reply's HTTP status.
	Status int
	// Shed is set if the upstream refused the request without running it.
	Shed bool
	// Leaving is set if the reply says that the upstream is draining.
	Leaving bool
	// RetriesSpent is set if the reply carries Catkin-Retries-Spent.
	RetriesSpent bool
	// Load is the load report on the upstream's reply; nil for none.
	Load *balance.Load
	// Outcome and Reason are those of the other entry's answer to a forward.
	Outcome attempt.Outcome
	Reason  attempt.Reason
	// RetryAfter is the hint on the reply; 0 for none.
	RetryAfter time.Duration
	// Reply is the complete reply, if Step.KeepReply required it.
	Reply *attempt.Reply
}
