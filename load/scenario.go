// Package load generates open-loop load: calls start at their intended times
// even if earlier calls are not answered yet, and latency is measured from the
// intended start. During a run it injects faults into the stand-ins. It also
// compares variants of a site, which it runs in alternating turns.
package load

import (
	"errors"
	"fmt"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/settings"
	"github.com/catkinrouter/catkinrouter/standin"
)

// Scenario describes the load of a run and the faults to inject during it.
type Scenario struct {
	// Entries are the addresses at which callers look up the addresses for
	// their calls. Variants with Direct make no lookups.
	Entries []string `json:"entries"`
	// Control is the stand-ins' control address. Without it a run has no
	// upstream faults, no shares and no ledger check.
	Control string `json:"control,omitempty"`
	// Platform is the stand-in platform's address, used to inject its faults.
	Platform string `json:"platform,omitempty"`
	// Operator is an agent's operator address, for variants that change
	// rules.
	Operator string `json:"operator,omitempty"`
	// Metrics are the entries' metrics addresses, from which EntryCost is
	// computed.
	Metrics []string `json:"metrics,omitempty"`
	// Warmup is the time before Duration in which calls are made but not
	// counted.
	Warmup   config.Duration `json:"warmup,omitempty"`
	Duration config.Duration `json:"duration"`
	Timeout  config.Duration `json:"timeout"`
	// Callers is the number of callers, each with its own lookup cache;
	// DefaultCallers if 0.
	Callers int `json:"callers,omitempty"`
	// Seed is the seed of the random choices and of the random intervals
	// between calls; DefaultSeed if 0.
	Seed     uint64    `json:"seed,omitempty"`
	Calls    []CallMix `json:"calls"`
	Faults   []Fault   `json:"faults,omitempty"`
	Variants []Variant `json:"variants,omitempty"`
	// Turns is the number of times that compare runs each variant;
	// DefaultTurns if 0.
	Turns int `json:"turns,omitempty"`
}

// CallMix describes a stream of calls that differ only in their IDs.
type CallMix struct {
	// Name identifies the mix in results; the service's name by default.
	Name    string `json:"name,omitempty"`
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Rate is in calls per second.
	Rate float64 `json:"rate,omitempty"`
	// Load is the rate as a share of the capacity of the service's upstreams.
	// It needs the control address.
	Load float64 `json:"load,omitempty"`
	// Swing sets factors of the rate at points in time. Between two points the
	// factor is interpolated linearly.
	Swing []SwingPoint `json:"swing,omitempty"`
	// Keyed makes calls carry a Catkin-Key with the permit from the lookup.
	Keyed bool `json:"keyed,omitempty"`
	// Repeats is the maximum number of times that a caller repeats a call that
	// was not answered.
	Repeats int `json:"repeats,omitempty"`
	// Caller is the name of the caller that makes every call of the mix, such as
	// "caller-01"; a random one for each call by default.
	Caller string `json:"caller,omitempty"`
	// BodyBytes is the size of the request's body.
	BodyBytes int `json:"body_bytes,omitempty"`
}

// SwingPoint sets a factor of the rate at a time after the end of the warm-up.
type SwingPoint struct {
	At     config.Duration `json:"at"`
	Factor float64         `json:"factor"`
}

// Fault injects faults for a time, either into one upstream, into Pick random
// upstreams of a service, or into the platform. At counts from the end of the
// warm-up.
type Fault struct {
	At  config.Duration `json:"at"`
	For config.Duration `json:"for"`
	// Every is the interval at which the fault is repeated, each time with a new
	// random pick; 0 for a single time.
	Every    config.Duration         `json:"every,omitempty"`
	Upstream string                  `json:"upstream,omitempty"`
	Service  string                  `json:"service,omitempty"`
	Pick     int                     `json:"pick,omitempty"`
	Set      standin.UpstreamFaults  `json:"set"`
	Platform *standin.PlatformFaults `json:"platform,omitempty"`
}

// Variant is one of the alternatives that compare runs.
type Variant struct {
	Name string `json:"name"`
	// Policy, if set, is applied to every service.
	Policy string `json:"policy,omitempty"`
	// ProbeBudget and HedgeBudget, if set, are applied to every service.
	ProbeBudget *float64 `json:"probe_budget,omitempty"`
	HedgeBudget *float64 `json:"hedge_budget,omitempty"`
	// RateFactor multiplies every rate; 1 by default.
	RateFactor float64 `json:"rate_factor,omitempty"`
	// Entries replaces the scenario's entries, to compare with instances of
	// another build.
	Entries []string `json:"entries,omitempty"`
	// Direct sends calls to the upstreams in round-robin order, without an
	// entry.
	Direct bool `json:"direct,omitempty"`
	// Omit lists the names of mixes that this variant leaves out.
	Omit []string `json:"omit,omitempty"`
}

// Defaults of a Scenario.
const (
	DefaultCallers = 20
	DefaultTurns   = 3
	DefaultSeed    = 1
)

// Check sets defaults and returns all errors of the scenario, joined.
func (s *Scenario) Check() error {
	s.Callers = defaultTo(s.Callers, DefaultCallers)
	s.Turns = defaultTo(s.Turns, DefaultTurns)
	s.Seed = defaultTo(s.Seed, DefaultSeed)
	errs := s.checkAddresses()
	if s.Duration <= 0 {
		errs = append(errs, errors.New("key \"duration\" is not above 0: set the time to measure"))
	}
	if s.Timeout <= 0 {
		errs = append(errs, errors.New("key \"timeout\" is not above 0: set how long a caller waits"))
	}
	if len(s.Calls) == 0 {
		errs = append(errs, errors.New("key \"calls\" is empty: describe at least one stream of calls"))
	}
	for i := range s.Calls {
		errs = append(errs, s.Calls[i].check(fmt.Sprintf("calls[%d]", i), s.Control != ""))
	}
	for i, f := range s.Faults {
		errs = append(errs, f.check(fmt.Sprintf("faults[%d]", i), s))
	}
	return errors.Join(errs...)
}

func (s *Scenario) checkAddresses() []error {
	var errs []error
	if len(s.Entries) == 0 {
		errs = append(errs, errors.New("key \"entries\" is empty: name at least one entry"))
	}
	for _, a := range s.Entries {
		errs = append(errs, settings.CheckAddress("entries", a))
	}
	for _, v := range s.Variants {
		for _, a := range v.Entries {
			errs = append(errs, settings.CheckAddress("variants "+v.Name, a))
		}
	}
	for _, a := range s.Metrics {
		errs = append(errs, settings.CheckAddress("metrics", a))
	}
	if s.Control != "" {
		errs = append(errs, settings.CheckAddress("control", s.Control))
	}
	return errs
}

func (m *CallMix) check(key string, hasControl bool) error {
	m.Name = defaultTo(m.Name, m.Service)
	m.Method = defaultTo(m.Method, "GET")
	m.Path = defaultTo(m.Path, "/")
	errs := []error{settings.CheckNotEmpty(key+".service", m.Service)}
	if (m.Rate > 0) == (m.Load > 0) {
		errs = append(errs, fmt.Errorf("key %q: set either rate or load above 0", key))
	}
	if m.Load > 0 && !hasControl {
		errs = append(errs, fmt.Errorf("key %q: load needs the key \"control\": set it or use rate", key))
	}
	for i := 1; i < len(m.Swing); i++ {
		if m.Swing[i].At <= m.Swing[i-1].At {
			errs = append(errs, fmt.Errorf("key %q: swing[%d] is not after the point before: order them by time", key, i))
		}
	}
	return errors.Join(errs...)
}

func (f Fault) check(key string, s *Scenario) error {
	switch {
	case f.Platform != nil && s.Platform == "":
		return fmt.Errorf("key %q: platform faults need the key \"platform\": set its address", key)
	case f.Platform == nil && s.Control == "":
		return fmt.Errorf("key %q: upstream faults need the key \"control\": set its address", key)
	case f.Platform == nil && (f.Upstream == "") == (f.Service == ""):
		return fmt.Errorf("key %q: name either an upstream or a service", key)
	case f.Service != "" && f.Pick < 1:
		return fmt.Errorf("key %q: set pick to the number of upstreams", key)
	case f.For <= 0:
		return fmt.Errorf("key %q: set \"for\" to the time that the fault lasts", key)
	}
	return nil
}

// factor returns the factor of the rate at a time after the end of the warm-up,
// negative during the warm-up.
func (m *CallMix) factor(at time.Duration) float64 {
	if len(m.Swing) == 0 {
		return 1
	}
	prev := m.Swing[0]
	for _, p := range m.Swing {
		if at < p.At.D() {
			return interpolate(prev, p, at)
		}
		prev = p
	}
	return prev.Factor
}

// interpolate returns the factor at a time between a and b.
func interpolate(a, b SwingPoint, at time.Duration) float64 {
	if b.At == a.At {
		return a.Factor
	}
	share := float64(at-a.At.D()) / float64(b.At-a.At)
	return a.Factor + share*(b.Factor-a.Factor)
}

// defaultTo returns v, or def if v is the zero value.
func defaultTo[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
