package proxy

import (
	"maps"
	"strings"
	"sync"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
	"github.com/catkinrouter/catkinrouter/link"
)

// counters are the metrics of the data path. Those of the hot path are
// looked up once.
type counters struct {
	registry gometrics.Registry
	outcomes [attempt.Unknown + 1]gometrics.Counter
	// held is the time that calls spent in the entry itself, in microseconds.
	held *metrics.Histogram
	// callersGone counts calls whose caller went away before the answer.
	callersGone   gometrics.Counter
	probesSent    gometrics.Counter
	probesFailed  gometrics.Counter
	probesDropped gometrics.Counter
	opened        gometrics.Counter
	reused        gometrics.Counter
	stale         gometrics.Counter
	cutReplies    gometrics.Counter
	lookups       gometrics.Counter

	mu       sync.Mutex // guards writes of byReason
	byReason atomic.Pointer[map[attempt.Reason]gometrics.Counter]
}

func newCounters(r gometrics.Registry) *counters {
	m := &counters{registry: r, held: metrics.NewHistogram()}
	for _, o := range []attempt.Outcome{attempt.Answered, attempt.NotRun, attempt.Unknown} {
		m.outcomes[o] = gometrics.GetOrRegisterCounter("outcome."+o.String(), r)
	}
	for name, c := range map[string]*gometrics.Counter{
		"caller.gone": &m.callersGone, "probe.sent": &m.probesSent, "probe.failed": &m.probesFailed,
		"probe.dropped": &m.probesDropped, "connection.opened": &m.opened, "connection.reused": &m.reused,
		"connection.stale": &m.stale, "reply.cut": &m.cutReplies, "lookup.answered": &m.lookups,
	} {
		*c = gometrics.GetOrRegisterCounter(name, r)
	}
	if err := r.Register("held.us", m.held); err != nil {
		panic(err) // the registry is new
	}
	m.byReason.Store(&map[attempt.Reason]gometrics.Counter{})
	for why := range kinds {
		m.refused(why)
	}
	for _, why := range attempt.Reasons() {
		m.refused(why.Reason)
	}
	for _, why := range attempt.Retries() {
		gometrics.GetOrRegisterGauge(string(why.Retry), r)
	}
	return m
}

func (m *counters) outcome(o attempt.Outcome) gometrics.Counter { return m.outcomes[o] }

// refused returns the counter of refusals for a reason, "refused.REASON".
func (m *counters) refused(why attempt.Reason) gometrics.Counter {
	if c := (*m.byReason.Load())[why]; c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.byReason.Load()
	if c := old[why]; c != nil {
		return c
	}
	c := gometrics.GetOrRegisterCounter("refused."+string(why), m.registry)
	fresh := maps.Clone(old)
	fresh[why] = c
	m.byReason.Store(&fresh)
	return c
}

// node shows the Node's own counts of retries as gauges.
func (m *counters) node(st *link.Status) {
	gometrics.GetOrRegisterGauge("calls.in_flight", m.registry).Update(int64(st.InFlight))
	gometrics.GetOrRegisterGauge("configuration.revision", m.registry).Update(int64(st.Revision))
	for _, c := range st.Counters {
		if strings.HasPrefix(c.Name, "retry") {
			gometrics.GetOrRegisterGauge(c.Name, m.registry).Update(c.Count)
		}
	}
}
