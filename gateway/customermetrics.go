package gateway

import (
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/ratelimit"
)

// maxCustomerNames bounds the customers with metrics of their own; the others share those
// of otherCustomers.
const (
	maxCustomerNames = 100
	otherCustomers   = "other"
)

// customerMetrics holds the metrics of customers with a limit.
type customerMetrics struct {
	registry gometrics.Registry
	// requests counts the token requests sent, retransmissions those sent again, fallbacks
	// the calls decided without the customer's primary allocator, returned the tokens given back.
	requests, retransmissions, fallbacks, returned gometrics.Counter

	mu     sync.Mutex
	byName map[string]customerCounts
}

// customerCounts counts the calls of one customer.
type customerCounts struct{ admitted, refused, fallbacks gometrics.Counter }

func newCustomerMetrics(registry gometrics.Registry) *customerMetrics {
	c := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter(name, registry) }
	return &customerMetrics{
		registry: registry, requests: c("token_requests_total"), retransmissions: c("token_retransmissions_total"),
		fallbacks: c("token_fallbacks_total"), returned: c("tokens_returned_total"), byName: map[string]customerCounts{},
	}
}

// of returns the counters of the customer with the given name.
func (m *customerMetrics) of(name string) customerCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	if counts, ok := m.byName[name]; ok {
		return counts
	}
	if len(m.byName) >= maxCustomerNames {
		return m.counts(otherCustomers)
	}
	m.byName[name] = m.counts(name)
	return m.byName[name]
}

// counts returns the counters registered under a name.
func (m *customerMetrics) counts(name string) customerCounts {
	return customerCounts{
		admitted:  gometrics.GetOrRegisterCounter("customer_admitted_total."+name, m.registry),
		refused:   gometrics.GetOrRegisterCounter("customer_refused_total."+name, m.registry),
		fallbacks: m.fallbacks,
	}
}

// count counts a decision about a call.
func (c customerCounts) count(d ratelimit.Decision) {
	switch d.Verdict {
	case ratelimit.Admitted:
		c.admitted.Inc(1)
	case ratelimit.OverLimit, ratelimit.Unknown:
		c.refused.Inc(1)
	}
	if d.Fallback() {
		c.fallbacks.Inc(1)
	}
}
