// Package headers names the HTTP headers and paths that callers, entries and
// upstreams exchange.
package headers

// Headers that a caller sends.
const (
	// Key identifies a non-idempotent call: a permit, "/", and the caller's
	// own name for the call. Repeats of the call carry the same Key.
	Key = "Catkin-Key"
	// Try numbers the caller's tries of one Key, from 1.
	Try = "Catkin-Try"
	// Deadline is the time left for the call, in milliseconds.
	Deadline = "Catkin-Deadline-Ms"
	// Depth is the number of calls above this one.
	Depth = "Catkin-Depth"
	// Caller names the caller, for fairness under overload. Without it the
	// caller's IP address is used.
	Caller = "Catkin-Caller"
	// Forwarded is set by an entry that forwards a keyed call to its home.
	Forwarded = "Catkin-Forwarded"
)

// Headers of replies.
const (
	// Outcome is "answered", "not-run" or "unknown".
	Outcome = "Catkin-Outcome"
	// Reason names why a call was not answered.
	Reason = "Catkin-Reason"
	// RetriesSpent is set on a reply whose retries were used further down:
	// callers above must not retry it. It also travels on requests.
	RetriesSpent = "Catkin-Retries-Spent"
	// Entry names the entry that answered.
	Entry = "Catkin-Entry"
)

// Headers of upstream replies to an entry.
const (
	// Load is the upstream's own report, "working/slots", such as "3/6";
	// working counts queued requests too.
	Load = "Catkin-Load"
	// Shed is set by an upstream that refused a request without running it.
	Shed = "Catkin-Shed"
	// Leaving is set by an upstream that is draining.
	Leaving = "Catkin-Leaving"
)

// Paths with a meaning of their own.
const (
	// LookupPath answers which entry addresses a caller may use. Its query
	// parameter "service" names the service.
	LookupPath = "/.catkin/lookup"
	// ProbePath is an upstream's load endpoint; the answer carries Load.
	ProbePath = "/.catkin/load"
	// HealthPath is an upstream's health endpoint.
	HealthPath = "/.catkin/health"
)
