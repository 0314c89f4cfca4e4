package attempt

import "slices"

// Reason is the cause for which a call was refused or ended without an answer,
// as the value of the Catkin-Reason header. Each Reason has a counter and a
// remedy.
type Reason string

// Reasons of calls that end without an answer.
const (
	ReasonNoConfiguration Reason = "no-configuration"
	ReasonUnknownService  Reason = "unknown-service"
	ReasonNoUpstream      Reason = "no-upstream"
	ReasonPaused          Reason = "upstreams-paused"
	ReasonQuarantined     Reason = "quarantined"
	ReasonBodyTooLarge    Reason = "body-too-large"
	ReasonDeadline        Reason = "deadline"
	ReasonOverload        Reason = "overload"
	ReasonQueueFull       Reason = "queue-full"
	ReasonCancelled       Reason = "cancelled"
	ReasonConnect         Reason = "connect-failed"
	ReasonShed            Reason = "upstream-shed"
	ReasonLost            Reason = "reply-lost"
	ReasonUnkeyedLost     Reason = "unkeyed-reply-lost"
	ReasonMalformedKey    Reason = "malformed-key"
	ReasonPermitVersion   Reason = "permit-version"
	ReasonPermitSigner    Reason = "permit-signer-unknown"
	ReasonPermitSignature Reason = "permit-signature"
	ReasonPermitExpired   Reason = "permit-expired"
	ReasonPermitTooLong   Reason = "permit-too-long"
	ReasonHomeGone        Reason = "home-gone"
	ReasonHomeUnreachable Reason = "home-unreachable"
	ReasonNotRunEarlier   Reason = "not-run-earlier"
	ReasonRecordFull      Reason = "record-full"
	ReasonKeyReused       Reason = "key-reused"
	ReasonTooManyRepeats  Reason = "too-many-repeats"
	ReasonReplyNotKept    Reason = "reply-not-kept"
)

// ReasonInfo describes one Reason for callers, operators and counters.
type ReasonInfo struct {
	Reason Reason
	// Outcomes are the outcomes that the reason may accompany.
	Outcomes []Outcome
	// Remedy is what the caller or the operator can do.
	Remedy string
}

var (
	notRun          = []Outcome{NotRun}
	unknown         = []Outcome{Unknown}
	notRunOrUnknown = []Outcome{NotRun, Unknown}
)

var reasons = []ReasonInfo{
	{ReasonNoConfiguration, notRun, "the entry has no configuration yet: use another entry"},
	{ReasonUnknownService, notRun, "no service has this Host: correct the name, or confirm a configuration that has it"},
	{ReasonNoUpstream, notRun, "no upstream takes new work: repeat later; operators check the upstreams' states"},
	{ReasonPaused, notRun, "all upstreams asked for a pause: repeat after Retry-After"},
	{ReasonQuarantined, notRun, "the upstreams that ran this request crashed: repeat after Retry-After; operators look for the cause in the upstreams"},
	{ReasonBodyTooLarge, notRun, "the body is above the service's max_body: send less, or raise max_body"},
	{ReasonDeadline, notRunOrUnknown, "the time left was too short: allow more time"},
	{ReasonOverload, notRun, "the wait for a slot would pass the deadline: repeat after Retry-After"},
	{ReasonQueueFull, notRun, "more calls of this caller wait than its share: repeat after Retry-After"},
	{ReasonCancelled, notRun, "the first try of this call was given up before it ran: raise Catkin-Try"},
	{ReasonConnect, notRun, "no upstream accepted a connection: repeat later; operators check the upstreams"},
	{ReasonShed, notRun, "the upstream refused the work: repeat after Retry-After"},
	{ReasonLost, unknown, "the reply was lost after the request was sent: repeat it if it is idempotent; with a Catkin-Key ask the service whether it ran"},
	{ReasonUnkeyedLost, unknown, "the reply was lost and the call has no Catkin-Key: it may have run, so ask the service before sending it again; send a key next time"},
	{ReasonMalformedKey, notRun, "Catkin-Key is not \"<permit>/<name>\": take a permit from the address lookup and a name of 1 to 128 visible characters"},
	{ReasonPermitVersion, unknown, "this entry is older than the permit: use another entry, or ask the service whether the call ran"},
	{ReasonPermitSigner, unknown, "the permit's signing key is not in force here: ask the service whether the call ran, then look up a new permit"},
	{ReasonPermitSignature, unknown, "the permit is not genuine: ask the service whether the call ran, then look up a new permit"},
	{ReasonPermitExpired, unknown, "the permit has expired and its record is gone: ask the service whether the call ran, then look up a new permit"},
	{ReasonPermitTooLong, unknown, "the permit outlasts what its home allows: ask the service whether the call ran, then look up a new permit"},
	{ReasonHomeGone, unknown, "the entry that held the record has restarted: ask the service whether the call ran, then look up a new permit"},
	{ReasonHomeUnreachable, unknown, "the entry that holds the record gives no answer: repeat with the same key, or ask the service whether the call ran"},
	{ReasonNotRunEarlier, notRun, "this try was told not-run before and stays so: raise Catkin-Try or use a new key"},
	{ReasonRecordFull, notRun, "the home's record is full: look up a new permit and use a new key"},
	{ReasonKeyReused, unknown, "another request was sent under this key: use a new name for each request"},
	{ReasonTooManyRepeats, unknown, "enough repeats of this call wait for its answer already: repeat later with the same key"},
	{ReasonReplyNotKept, unknown, "the call ran and was answered once; its reply is not kept: ask the service for the result"},
}

// Reasons returns all reasons in a fixed order.
func Reasons() []ReasonInfo { return slices.Clone(reasons) }

// Remedy returns what to do about r, or "" if r is not one of Reasons.
func (r Reason) Remedy() string { return r.info().Remedy }

// Allows reports whether r may accompany the outcome.
func (r Reason) Allows(o Outcome) bool { return slices.Contains(r.info().Outcomes, o) }

func (r Reason) info() ReasonInfo {
	for i := range reasons {
		if reasons[i].Reason == r {
			return reasons[i]
		}
	}
	return ReasonInfo{}
}
