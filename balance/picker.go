package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Picker picks among the upstreams of one Table. A Picker and its Table are
// not safe for concurrent use.
type Picker interface {
	// Pick returns the index of an upstream for q, or false if none is usable.
	// It does not allocate.
	Pick(now time.Duration, q Query, rng *rand.Rand) (index int, ok bool)
}

// Builder creates the Pickers of one policy.
type Builder interface {
	// Name returns the policy's name in a service's rules.
	Name() string
	// Build returns a Picker over t.
	Build(t *Table) Picker
}

// Observer is implemented by Pickers that keep the upstreams in order of load.
type Observer interface {
	// Changed is called after the number of requests in flight to upstream i,
	// or its weight, has changed.
	Changed(i int)
}

// Names of the policies, as written in a service's rules.
const (
	HotCold      = "hotcold"
	LeastRequest = "leastrequest"
	P2C          = "p2c"
	RoundRobin   = "roundrobin"
	Random       = "random"
)

// Names returns the names of all policies.
func Names() []string { return []string{HotCold, LeastRequest, P2C, RoundRobin, Random} }

// Known reports whether name is the name of a policy.
func Known(name string) bool { return slices.Contains(Names(), name) }
