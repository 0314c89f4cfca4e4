// Package route holds the operators' routes and matches requests to them. A
// Table's rules never change; each new document gets a new Table.
package route

import (
	"maps"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/catkinrouter/catkinrouter/customer"
)

// Part is one service's share of a route's requests.
type Part struct {
	Service string
	// Weight is relative to the other parts' weights: finite, at least 0.
	Weight float64
}

// Rule is one route.
type Rule struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is set if the requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for the response.
	Timeout time.Duration
	// TargetLatency is the latency target; a response within it is worth most to
	// the caller.
	TargetLatency time.Duration
	// Priority orders requests by urgency; 0 is the most urgent.
	Priority int
	// MaxAttempts limits the number of upstreams that a request is sent to.
	MaxAttempts int
	// Parts holds a single service or the weighted parts of a traffic split.
	Parts []Part
	// Public is set if requests need no API key.
	Public bool
	// Unreadable is set if the operators' row could not be read: its requests are refused,
	// since neither an older row nor another route may serve them.
	Unreadable bool
}

// Problem is a field of the operators' configuration that could not be read as written.
type Problem struct {
	Table string // "routes", "services", "tenants" or "limits"
	Row   int    // position in the table, from 0
	Name  string // of the route or service, empty if it could not be read
	Field string // empty if the problem is the row as a whole
	// Why says what is wrong, Effect what is done instead.
	Why, Effect string
}

// Service is the operators' configuration of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that each upstream accepts from
	// all instances together.
	MaxConns int
	// ColdTime is how long an upstream is cold after its start, ColdPerSecond the rate of
	// requests from all instances together that it sustains while cold; 0 sets no limit.
	ColdTime      time.Duration
	ColdPerSecond float64
}

// Limits holds the limits on callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is one version of the operators' configuration.
type Document struct {
	Version  uint64
	Rules    []Rule
	Services []Service
	Limits   Limits
	// Customers is nil if requests need no API key.
	Customers *customer.Set
	// Problems lists what could not be read as written.
	Problems []Problem
}

// Table finds the route of a request. It is safe for concurrent use.
type Table struct {
	Version uint64
	Limits  Limits
	// Customers is nil if requests need no API key.
	Customers *customer.Set
	hosts     map[string][]*Route // longest prefix first
	services  map[string]Service
	// mixed holds the services whose requests differ in priority.
	mixed map[string]bool
}

// Route is a Rule in use, with the state of its traffic split.
type Route struct {
	Rule
	split *split
}

// NewTable builds the Table of doc. Each traffic split starts at a random
// position of its rotation, so that the instances of a fleet don't all send their
// first requests to the same part.
func NewTable(doc *Document, rng *rand.Rand) *Table {
	t := &Table{
		Version: doc.Version, Limits: doc.Limits, Customers: doc.Customers,
		hosts: map[string][]*Route{}, services: make(map[string]Service, len(doc.Services)),
	}
	for _, s := range doc.Services {
		t.services[s.Name] = s
	}
	for _, r := range doc.Rules {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], newRoute(r, rng))
	}
	t.mixed = mixedServices(doc)
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

func newRoute(rule Rule, rng *rand.Rand) *Route {
	return &Route{Rule: rule, split: newSplit(rule.Parts, rng)}
}

// Match returns the route of the host with the longest prefix of path, or nil if
// there is none. The host may include a port.
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

// mixedServices returns the services whose requests differ in priority, by their routes or
// their customers.
func mixedServices(doc *Document) map[string]bool {
	byCustomer := doc.Customers.Priorities()
	seen, mixed := map[string]map[int]bool{}, map[string]bool{}
	for _, r := range doc.Rules {
		for _, p := range r.Parts {
			if seen[p.Service] == nil {
				seen[p.Service] = maps.Clone(byCustomer)
			}
			seen[p.Service][r.Priority] = true
			mixed[p.Service] = len(seen[p.Service]) > 1
		}
	}
	return mixed
}

// PrioritiesDiffer reports whether the requests of a service differ in priority.
func (t *Table) PrioritiesDiffer(service string) bool { return t.mixed[service] }

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// NextService returns the service of the next request. Even a short run of requests is
// distributed close to the weights.
func (r *Route) NextService() string { return r.split.next() }
