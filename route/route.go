// Package route holds the operators' routes and finds the one that a request
// takes. A Table never changes; a new document makes a new one.
package route

import (
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"
)

// Part is one service's share of a route's requests.
type Part struct {
	Service string
	// Weight is relative to the other parts' weights.
	Weight int
}

// Rule is one route.
type Rule struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer is worth most.
	Target time.Duration
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Parts holds one service, or the parts of a split.
	Parts []Part
}

// Service is what the operators say of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that each upstream accepts from
	// the whole fleet.
	MaxConns int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeader     int // bytes
	MaxBody       int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the operators' configuration.
type Document struct {
	Version  uint64
	Rules    []Rule
	Services []Service
	Limits   Limits
}

// Table finds the route of a request. It is safe for concurrent use.
type Table struct {
	Version  uint64
	Limits   Limits
	hosts    map[string][]*Route // longest prefix first
	services map[string]Service
}

// Route is a Rule in force, with the turns of its split.
type Route struct {
	Rule
	mu      sync.Mutex
	credits []int
}

// NewTable builds the Table of doc. Each split begins at a random place of
// its turns, so that a fleet's instances do not begin with the same part.
func NewTable(doc *Document, rng *rand.Rand) *Table {
	t := &Table{
		Version: doc.Version, Limits: doc.Limits,
		hosts: map[string][]*Route{}, services: make(map[string]Service, len(doc.Services)),
	}
	for _, s := range doc.Services {
		t.services[s.Name] = s
	}
	for _, r := range doc.Rules {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], newRoute(r, rng))
	}
	for _, l := range t.hosts {
		sort.SliceStable(l, func(i, j int) bool { return len(l[i].Prefix) > len(l[j].Prefix) })
	}
	return t
}

func newRoute(rule Rule, rng *rand.Rand) *Route {
	r := &Route{Rule: rule, credits: make([]int, len(rule.Parts))}
	if total := r.total(); total > 0 && len(rule.Parts) > 1 {
		for range rng.IntN(total) {
			r.Next()
		}
	}
	return r
}

// Match returns the route with the longest prefix of path at the host, which
// may carry a port; nil where there is none.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

func (r *Route) total() int {
	n := 0
	for _, p := range r.Parts {
		n += p.Weight
	}
	return n
}

// Next returns the service of the next request, by smooth weighted turns: the
// part with the most credit takes the request and pays the sum of weights, so
// that any short run of requests is close to the weights.
func (r *Route) Next() string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best := 0
	for i, p := range r.Parts {
		r.credits[i] += p.Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= r.total()
	return r.Parts[best].Service
}
