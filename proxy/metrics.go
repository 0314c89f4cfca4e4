package proxy

import (
	"maps"
	"strings"
	"sync"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/internal/httpreply"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
	"github.com/catkinrouter/catkinrouter/link"
)

// counters are the metrics of the data path. Those that requests update are
// looked up in the registry once.
type counters struct {
	registry gometrics.Registry
	outcomes [attempt.Unknown + 1]gometrics.Counter
	// held is the time that calls spent in the entry itself, in microseconds.
	// The time in which the handler goroutine waits for and reads replies is
	// left out; its wait for background attempts, such as those of keyed calls,
	// is included.
	held *metrics.Histogram
	// callersGone counts calls with a caller that disconnected before the
	// answer.
	callersGone   gometrics.Counter
	probesSent    gometrics.Counter
	probesFailed  gometrics.Counter
	probesDropped gometrics.Counter
	connsOpened   gometrics.Counter
	connsReused   gometrics.Counter
	connsStale    gometrics.Counter
	// truncatedReplies counts exchanges without a complete reply after the
	// request may have been sent.
	truncatedReplies gometrics.Counter
	// malformedReplies counts those of them whose reply HTTP/1.1 does not allow, and
	// such replies to probes.
	malformedReplies gometrics.Counter
	lookups          gometrics.Counter

	mu       sync.Mutex // serialises writes of byReason
	byReason atomic.Pointer[map[attempt.Reason]gometrics.Counter]
}

func newCounters(r gometrics.Registry) *counters {
	m := &counters{registry: r, held: metrics.NewHistogram()}
	for _, o := range []attempt.Outcome{attempt.Answered, attempt.NotRun, attempt.Unknown} {
		m.outcomes[o] = gometrics.GetOrRegisterCounter("outcome."+o.String(), r)
	}
	for name, c := range map[string]*gometrics.Counter{
		"caller.gone": &m.callersGone, "probe.sent": &m.probesSent, "probe.failed": &m.probesFailed,
		"probe.dropped": &m.probesDropped, "connection.opened": &m.connsOpened, "connection.reused": &m.connsReused,
		"connection.stale": &m.connsStale, "reply.cut": &m.truncatedReplies, "reply.malformed": &m.malformedReplies, "lookup.answered": &m.lookups,
	} {
		*c = gometrics.GetOrRegisterCounter(name, r)
	}
	if err := r.Register("held.us", m.held); err != nil {
		panic(err) // the registry is new and has no other metric of this name
	}
	m.byReason.Store(&map[attempt.Reason]gometrics.Counter{})
	for reason := range edgeRefusals {
		m.refused(reason)
	}
	for _, reason := range attempt.Reasons() {
		m.refused(reason.Reason)
	}
	for _, reason := range attempt.Retries() {
		gometrics.GetOrRegisterGauge(string(reason.Retry), r)
	}
	return m
}

// lostReply counts an exchange that ended with err in place of a complete reply.
func (m *counters) lostReply(err error) {
	m.truncatedReplies.Inc(1)
	m.countMalformed(err)
}

// countMalformed counts a reply that HTTP/1.1 does not allow, if err says so.
func (m *counters) countMalformed(err error) {
	if httpreply.IsMalformed(err) {
		m.malformedReplies.Inc(1)
	}
}

func (m *counters) outcome(o attempt.Outcome) gometrics.Counter { return m.outcomes[o] }

// refused returns the counter "refused.REASON" of the refusals for a reason.
func (m *counters) refused(reason attempt.Reason) gometrics.Counter {
	if c := (*m.byReason.Load())[reason]; c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.byReason.Load()
	if c := old[reason]; c != nil {
		return c
	}
	c := gometrics.GetOrRegisterCounter("refused."+string(reason), m.registry)
	updated := maps.Clone(old)
	updated[reason] = c
	m.byReason.Store(&updated)
	return c
}

// updateNodeGauges sets the gauges of the Node's calls in flight,
// configuration revision and retries.
func (m *counters) updateNodeGauges(st *link.Status) {
	gometrics.GetOrRegisterGauge("calls.in_flight", m.registry).Update(int64(st.InFlight))
	gometrics.GetOrRegisterGauge("configuration.revision", m.registry).Update(int64(st.Revision))
	for _, c := range st.Counters {
		if strings.HasPrefix(c.Name, "retry") {
			gometrics.GetOrRegisterGauge(c.Name, m.registry).Update(c.Count)
		}
	}
}
