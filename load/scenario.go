// Package load makes open-loop load: calls start at their intended times
// whether or not earlier ones were answered, and latency counts from there.
// It drives faults of the stand-ins meanwhile, and compares variants of a
// site in alternating turns.
package load

import (
	"errors"
	"fmt"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/settings"
	"github.com/catkinrouter/catkinrouter/standin"
)

// Scenario is a load to make, with the faults to make meanwhile.
type Scenario struct {
	// Entries are the addresses that callers ask for others, and the only
	// ones they use where Direct is set.
	Entries []string `json:"entries"`
	// Control is the stand-ins' control address. Without it there are no
	// upstream faults, no shares and no ledger.
	Control string `json:"control,omitempty"`
	// Platform is the stand-in platform's address, for its faults.
	Platform string `json:"platform,omitempty"`
	// Operator is an agent's operator address, for variants that change
	// rules.
	Operator string `json:"operator,omitempty"`
	// Metrics are the entries' metrics addresses, for their processor time.
	Metrics []string `json:"metrics,omitempty"`
	// Warmup is load whose results are not counted.
	Warmup   config.Duration `json:"warmup,omitempty"`
	Duration config.Duration `json:"duration"`
	Timeout  config.Duration `json:"timeout"`
	// Callers is the number of callers, each with looked-up addresses of
	// its own; 20 by default.
	Callers int `json:"callers,omitempty"`
	// Seed fixes call times and choices; 1 by default.
	Seed     uint64    `json:"seed,omitempty"`
	Calls    []CallMix `json:"calls"`
	Faults   []Fault   `json:"faults,omitempty"`
	Variants []Variant `json:"variants,omitempty"`
	// Turns is how often compare runs each variant; 3 by default.
	Turns int `json:"turns,omitempty"`
}

// CallMix is a stream of like calls.
type CallMix struct {
	// Name is used in results; the service's name by default.
	Name    string `json:"name,omitempty"`
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Rate is in calls per second.
	Rate float64 `json:"rate,omitempty"`
	// Load is the rate as a share of what the service's upstreams can do;
	// it needs the control address.
	Load float64 `json:"load,omitempty"`
	// Swing multiplies the rate over time, linear between its points.
	Swing []SwingPoint `json:"swing,omitempty"`
	// Keyed calls carry a Catkin-Key with the permit of the lookup.
	Keyed bool `json:"keyed,omitempty"`
	// Repeats is how often a caller repeats a call that was not answered.
	Repeats int `json:"repeats,omitempty"`
	// Caller makes every call of the mix come from one caller.
	Caller string `json:"caller,omitempty"`
	// BodyBytes is the size of the request's body.
	BodyBytes int `json:"body_bytes,omitempty"`
}

// SwingPoint is a factor of the rate at a time.
type SwingPoint struct {
	At     config.Duration `json:"at"`
	Factor float64         `json:"factor"`
}

// Fault switches faults on for a time. It names one upstream, or a service of
// which it picks some at random, or the platform.
type Fault struct {
	At  config.Duration `json:"at"`
	For config.Duration `json:"for"`
	// Every repeats the fault, each time with a new random pick.
	Every    config.Duration         `json:"every,omitempty"`
	Upstream string                  `json:"upstream,omitempty"`
	Service  string                  `json:"service,omitempty"`
	Pick     int                     `json:"pick,omitempty"`
	Set      standin.UpstreamFaults  `json:"set"`
	Platform *standin.PlatformFaults `json:"platform,omitempty"`
}

// Variant is one side of a comparison.
type Variant struct {
	Name string `json:"name"`
	// Policy is put in force for every service.
	Policy string `json:"policy,omitempty"`
	// ProbeBudget and HedgeBudget are put in force for every service.
	ProbeBudget *float64 `json:"probe_budget,omitempty"`
	HedgeBudget *float64 `json:"hedge_budget,omitempty"`
	// RateFactor multiplies every rate; 1 by default.
	RateFactor float64 `json:"rate_factor,omitempty"`
	// Entries replaces the scenario's, for another build of the daemons.
	Entries []string `json:"entries,omitempty"`
	// Direct sends to the upstreams themselves, in turn.
	Direct bool `json:"direct,omitempty"`
	// Omit names mixes that this variant leaves out.
	Omit []string `json:"omit,omitempty"`
}

// Defaults of a Scenario.
const (
	DefaultCallers = 20
	DefaultTurns   = 3
	DefaultSeed    = 1
)

// Check sets defaults and returns every fault of the scenario, joined.
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

func (m *CallMix) check(key string, control bool) error {
	m.Name = defaultTo(m.Name, m.Service)
	m.Method = defaultTo(m.Method, "GET")
	m.Path = defaultTo(m.Path, "/")
	errs := []error{settings.CheckSet(key+".service", m.Service)}
	if (m.Rate > 0) == (m.Load > 0) {
		errs = append(errs, fmt.Errorf("key %q: set either rate or load above 0", key))
	}
	if m.Load > 0 && !control {
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

// factor is the swing's factor at a time since the start.
func (m *CallMix) factor(at time.Duration) float64 {
	if len(m.Swing) == 0 {
		return 1
	}
	prev := m.Swing[0]
	for _, p := range m.Swing {
		if at < p.At.D() {
			return between(prev, p, at)
		}
		prev = p
	}
	return prev.Factor
}

func between(a, b SwingPoint, at time.Duration) float64 {
	if b.At == a.At {
		return a.Factor
	}
	share := float64(at-a.At.D()) / float64(b.At-a.At)
	return a.Factor + share*(b.Factor-a.Factor)
}

func defaultTo[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
