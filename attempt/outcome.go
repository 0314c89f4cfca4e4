// Package attempt defines the outcomes of calls and the rules for repeating
// them: permits and the record that keep a non-idempotent call from running
// twice, retry reasons, and the budgets of retries and hedges. It does no I/O
// and starts no goroutines; the time is an argument.
package attempt

// Outcome is the result of a call as reported to its caller.
type Outcome uint8

// Outcomes.
const (
	// Answered: the caller gets the upstream's reply.
	Answered Outcome = iota + 1
	// NotRun: the request did not run. It is reported only if no byte of the
	// request can have reached an upstream, or the upstream itself reported
	// that it did not run the request.
	NotRun
	// Unknown: the request may have run.
	Unknown
)

// String returns the value of the Catkin-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return "none"
}
