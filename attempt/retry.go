package attempt

import "strings"

// Retry is the reason for which a call was sent again, or was not. Each Retry is
// the name of a counter.
type Retry string

// Reasons to send a call again.
const (
	RetryConnect Retry = "retry.connect-failed"
	RetryShed    Retry = "retry.upstream-shed"
	RetryLost    Retry = "retry.reply-lost"
	RetryStatus  Retry = "retry.status"
	RetryHedge   Retry = "retry.hedge"
)

// Reasons not to send a failed call again.
const (
	DeniedNotIdempotent Retry = "retry-denied.not-idempotent"
	DeniedStreamed      Retry = "retry-denied.streamed"
	DeniedSpent         Retry = "retry-denied.spent"
	DeniedAttempts      Retry = "retry-denied.attempts"
	DeniedDeadline      Retry = "retry-denied.deadline"
	DeniedBudget        Retry = "retry-denied.budget"
	DeniedQuarantined   Retry = "retry-denied.quarantined"
)

// RetryInfo describes one Retry for operators.
type RetryInfo struct {
	Retry   Retry
	Meaning string
}

var retries = []RetryInfo{
	{RetryConnect, "no byte reached the first upstream"},
	{RetryShed, "the first upstream refused the work without running it"},
	{RetryLost, "an idempotent call's reply was lost"},
	{RetryStatus, "an idempotent call was answered with status 500 or above"},
	{RetryHedge, "an idempotent call took longer than 95 in 100 do"},
	{DeniedNotIdempotent, "the call may have run and is not idempotent"},
	{DeniedStreamed, "the body was streamed and cannot be sent again"},
	{DeniedSpent, "a layer below or above has used the retries"},
	{DeniedAttempts, "the call was sent as often as is allowed"},
	{DeniedDeadline, "the time left is shorter than a usual answer takes"},
	{DeniedBudget, "the service's retry_budget is used up"},
	{DeniedQuarantined, "the upstreams that ran the request crashed"},
}

// Reason returns r without the prefix that groups the counters.
func (r Retry) Reason() Reason {
	_, reason, _ := strings.Cut(string(r), ".")
	return Reason(reason)
}

// Retries returns all values of Retry in a fixed order.
func Retries() []RetryInfo { return append([]RetryInfo(nil), retries...) }
