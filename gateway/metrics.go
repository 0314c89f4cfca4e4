package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/internal/metrics"
)

// counters are the Gateway's metrics.
type counters struct {
	r            gometrics.Registry
	opened       gometrics.Counter
	probes       gometrics.Counter
	probesFailed gometrics.Counter
	strayReplies gometrics.Counter
	hedges       gometrics.Counter
	handoffs     gometrics.Counter
	lookups      gometrics.Counter
	warnings     gometrics.Counter
	logFailures  gometrics.Counter
	latency      gometrics.Histogram
}

func newCounters(r gometrics.Registry) *counters {
	c := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter(name, r) }
	m := &counters{
		r: r, opened: c("upstream_connections_opened_total"), probes: c("probes_total"), probesFailed: c("probes_failed_total"),
		strayReplies: c("stray_replies_total"), hedges: c("hedges_total"), handoffs: c("handoffs_total"), lookups: c("lookups_total"), warnings: c("warnings_total"),
		logFailures: c("log_failures_total"), latency: metrics.NewHistogram(),
	}
	r.GetOrRegister("request_duration_us", m.latency)
	return m
}

func (m *counters) retry(o outcome) {
	gometrics.GetOrRegisterCounter("repeats_total."+o.String(), m.r).Inc(1)
}

func (m *counters) refusal(why string) {
	gometrics.GetOrRegisterCounter("refusals_total."+why, m.r).Inc(1)
}

func (m *counters) ended(e ending, took time.Duration) {
	gometrics.GetOrRegisterCounter("requests_total."+e.kind.String(), m.r).Inc(1)
	if e.reason != "" {
		gometrics.GetOrRegisterCounter("request_endings_total."+e.reason, m.r).Inc(1)
	}
	m.latency.Update(took.Microseconds())
}
