package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/catkinrouter/catkinrouter/pick"
	"github.com/catkinrouter/catkinrouter/platform"
	"github.com/catkinrouter/catkinrouter/route"
)

// Bounds of the rules.
const (
	// minRatePerSecond is one request a minute: no caller could use a lower rate.
	minRatePerSecond = 1.0 / 60
	// minBurst is one request: with less, none is ever admitted at once.
	minBurst = 1.0
	// minColdPerSecond is the least rate at which one instance sends.
	minColdPerSecond = 0.1
)

// rules are the checks of what the instances accept.
var rules = []func(*View, Site) []Finding{
	shadowedRoutes, unreachableHosts, unusedServices, customersWithoutKey,
	targetsAboveTimeout, customerLimits, ratesAboveCapacity, connectionsBelowInstances, coldRates,
}

// warn returns a warning that is not about a row of a table by its position.
func warn(section, name, field, what, remedy string) Finding {
	return Finding{Severity: Warning, Section: section, Row: NoRow, Name: name, Field: field, What: what, Remedy: remedy}
}

// nameOf returns the name of a route, or its host and prefix if it has none.
func nameOf(r *route.Rule) string {
	if r.Name != "" {
		return r.Name
	}
	return r.Host + r.Prefix
}

// shadowedRoutes finds routes with the host and prefix of an earlier one, which gets all
// their requests. A longer prefix never takes all requests of a shorter one.
func shadowedRoutes(v *View, _ Site) (out []Finding) {
	type place struct{ host, prefix string }
	first := map[place]string{}
	for i := range v.Document.Rules {
		r := &v.Document.Rules[i]
		p := place{strings.ToLower(r.Host), r.Prefix}
		if by, taken := first[p]; taken {
			out = append(out, warn(platform.SectionRoutes, nameOf(r), platform.FieldPrefix,
				fmt.Sprintf("never matches: route %q has the same host and prefix", by),
				"remove one of the two, or change its prefix"))
			continue
		}
		first[p] = nameOf(r)
	}
	return out
}

// unreachableHosts finds routes with a port in their host: it is cut off the host of a
// request before the route is looked up.
func unreachableHosts(v *View, _ Site) (out []Finding) {
	for i := range v.Document.Rules {
		if r := &v.Document.Rules[i]; strings.Contains(r.Host, ":") {
			out = append(out, warn(platform.SectionRoutes, nameOf(r), platform.FieldHost,
				fmt.Sprintf("%q never matches: hosts are compared without a port", r.Host),
				"write the host without a port"))
		}
	}
	return out
}

// unusedServices finds services that no route sends requests to. It finds none if a route
// can't be read, since that may name any.
func unusedServices(v *View, _ Site) (out []Finding) {
	used := map[string]bool{}
	for _, r := range v.Document.Rules {
		if r.Unreadable {
			return nil
		}
		for _, p := range r.Parts {
			used[p.Service] = used[p.Service] || p.Weight > 0
		}
	}
	for _, s := range v.Document.Services {
		if !used[s.Name] {
			out = append(out, warn(platform.SectionServices, s.Name, "",
				"no route sends requests to it",
				"add a route, or remove the service"))
		}
	}
	return out
}

// customersOf returns the names of the customers in order.
func customersOf(v *View) []string {
	if v.Document.Customers == nil {
		return nil
	}
	names := v.Document.Customers.Names()
	slices.Sort(names)
	return names
}

// customersWithoutKey finds customers to whom no request can belong.
func customersWithoutKey(v *View, _ Site) (out []Finding) {
	for _, name := range customersOf(v) {
		if len(v.Keys[name]) == 0 {
			out = append(out, warn(platform.SectionCustomers, name, platform.FieldKeys,
				"has no key: no request can be the customer's",
				"add a key, or remove the customer"))
		}
	}
	return out
}

// targetsAboveTimeout finds routes whose answers may come later than their target without a
// timeout.
func targetsAboveTimeout(v *View, _ Site) (out []Finding) {
	for i := range v.Document.Rules {
		if r := &v.Document.Rules[i]; r.TargetLatency > r.Timeout {
			out = append(out, warn(platform.SectionRoutes, nameOf(r), platform.FieldTarget,
				fmt.Sprintf("the target of %v is above the timeout of %v", r.TargetLatency, r.Timeout),
				"lower the target, or raise the timeout"))
		}
	}
	return out
}

// customerLimits finds limits with which a customer can hardly send anything.
func customerLimits(v *View, _ Site) (out []Finding) {
	for _, name := range customersOf(v) {
		l := v.Document.Customers.ByName(name).Limit
		if l.Burst > 0 && l.Burst < minBurst {
			out = append(out, warn(platform.SectionCustomers, name, platform.FieldBurst,
				fmt.Sprintf("a burst of %g is below one request", l.Burst),
				"write a burst of at least 1"))
		}
		if l.Limited() && l.PerSecond < minRatePerSecond {
			out = append(out, warn(platform.SectionCustomers, name, platform.FieldRate,
				fmt.Sprintf("%g requests a second are fewer than one a minute", l.PerSecond),
				"write a rate of at least 1/60, or 0 for no limit"))
		}
	}
	return out
}

// ratesAboveCapacity compares the sum of the customers' rates with what all upstreams can
// serve, if these are known.
func ratesAboveCapacity(v *View, site Site) []Finding {
	if site.Upstreams == nil {
		return nil
	}
	sum := 0.0
	for _, name := range customersOf(v) {
		sum += v.Document.Customers.ByName(name).Limit.PerSecond
	}
	capacity := capacityOf(v, site)
	if sum <= capacity {
		return nil
	}
	return []Finding{warn(platform.SectionCustomers, "", platform.FieldRate,
		fmt.Sprintf("the customers' rates are %.4g requests a second in all, above the %.4g that "+
			"the upstreams' slots can serve if each request takes a third of its route's target", sum, capacity),
		"lower the rates, or add upstreams")}
}

// capacityOf returns the requests per second that the upstreams' slots can serve, each of
// the least work that the routes of its service expect. A service without a route serves none.
func capacityOf(v *View, site Site) float64 {
	work := leastWork(v)
	capacity := 0.0
	for _, u := range site.Upstreams {
		if w := work[u.Service]; w > 0 && !u.Draining {
			capacity += float64(u.Slots) / w.Seconds()
		}
	}
	return capacity
}

// leastWork returns the least time that the routes of each service expect a request to take.
func leastWork(v *View) map[string]time.Duration {
	work := map[string]time.Duration{}
	for _, r := range v.Document.Rules {
		w := pick.InitialWork(r.TargetLatency)
		for _, p := range r.Parts {
			if known := work[p.Service]; known == 0 || w < known {
				work[p.Service] = w
			}
		}
	}
	return work
}

// connectionsBelowInstances finds services whose upstreams accept too few connections for all
// instances, if their number is known.
func connectionsBelowInstances(v *View, site Site) (out []Finding) {
	for _, s := range v.Document.Services {
		if s.MaxConns > 0 && s.MaxConns < site.Instances {
			out = append(out, warn(platform.SectionServices, s.Name, platform.FieldMaxConns,
				fmt.Sprintf("each upstream accepts %d connections, fewer than the %d instances", s.MaxConns, site.Instances),
				"allow at least one connection for each instance"))
		}
	}
	return out
}

// coldRates finds rates of cold upstreams below what one instance sends.
func coldRates(v *View, _ Site) (out []Finding) {
	for _, s := range v.Document.Services {
		if s.ColdPerSecond > 0 && s.ColdPerSecond < minColdPerSecond {
			out = append(out, warn(platform.SectionServices, s.Name, platform.FieldColdRate,
				fmt.Sprintf("%g requests a second are below the %g that one instance sends at least", s.ColdPerSecond, minColdPerSecond),
				fmt.Sprintf("write at least %g, or 0 for no limit", minColdPerSecond)))
		}
	}
	return out
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
