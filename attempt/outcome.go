// Package attempt decides how calls end: outcomes, permits, the record that
// keeps a non-idempotent call from running twice, retries and hedges. It does
// no I/O and starts no goroutines; time comes in as an argument.
package attempt

// Outcome tells a caller what became of a call.
type Outcome uint8

// Outcomes. NotRun is said only where no byte of the request can have reached
// an upstream, or the upstream itself said that it did not run it.
const (
	Answered Outcome = iota + 1
	NotRun
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
