// Package headers defines the HTTP headers and paths that callers, entries and
// upstreams exchange.
package headers

// Headers of requests.
const (
	// Key identifies a non-idempotent call: a permit, "/", and a name that the
	// caller chooses for the call. Repeats of the call carry the same Key.
	Key = "Catkin-Key"
	// Try is the number of the caller's try of a Key, from 1.
	Try = "Catkin-Try"
	// Deadline is the time left for the call, in milliseconds.
	Deadline = "Catkin-Deadline-Ms"
	// Depth is the number of calls above this one in the call chain.
	Depth = "Catkin-Depth"
	// Caller identifies the caller, for fair queueing under overload. Without
	// it the caller's IP address is used.
	Caller = "Catkin-Caller"
	// Attempt is the number of the request among those that the entry has sent on the
	// connection. An upstream that echoes it in its replies lets the entry tell a second,
	// late copy of an earlier reply from the reply that is due.
	Attempt = "Catkin-Attempt"
	// Forwarded is set by an entry that forwards a keyed call to its home, the
	// entry that the permit names.
	Forwarded = "Catkin-Forwarded"
)

// Headers of replies.
const (
	// Outcome is "answered", "not-run" or "unknown".
	Outcome = "Catkin-Outcome"
	// Reason is the code of the reason why a call was not answered.
	Reason = "Catkin-Reason"
	// RetriesSpent is set on a reply if retries were already used further down
	// the call chain: callers above must not retry it. It is also set on
	// requests, which must not be retried then.
	RetriesSpent = "Catkin-Retries-Spent"
	// Entry is the ID of the entry that answered.
	Entry = "Catkin-Entry"
)

// Headers of replies from upstreams to entries.
const (
	// Load is the upstream's load report, "working/slots", such as "3/6";
	// working counts running and queued requests.
	Load = "Catkin-Load"
	// Shed is set by an upstream that refused a request without running it.
	Shed = "Catkin-Shed"
	// Leaving is set by an upstream that is draining.
	Leaving = "Catkin-Leaving"
)

// Reserved paths.
const (
	// LookupPath returns the entry addresses that a caller may use. Its query
	// parameter "service" names the service.
	LookupPath = "/.catkin/lookup"
	// ProbePath is the load endpoint of an upstream; the reply carries Load.
	ProbePath = "/.catkin/load"
	// HealthPath is the health endpoint of an upstream.
	HealthPath = "/.catkin/health"
)
