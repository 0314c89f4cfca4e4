package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/internal/membudget"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
)

// metricSet holds the metrics of a Gateway.
type metricSet struct {
	registry     gometrics.Registry
	connsOpened  gometrics.Counter
	probes       gometrics.Counter
	probesFailed gometrics.Counter
	strayReplies gometrics.Counter
	// malformedReplies counts replies, also to health checks, that HTTP/1.1 does not allow.
	malformedReplies gometrics.Counter
	// repeatedIDs counts the connections passed over because they had carried a request
	// with the same ID.
	repeatedIDs gometrics.Counter
	// rateLimitChanges counts changes of upstreams' rate limits, limitedSends
	// the attempts sent to an upstream that names one, rateLimited the probed
	// upstreams that were passed over for it.
	rateLimitChanges, limitedSends, rateLimited gometrics.Counter
	// coldSends counts the attempts sent to cold upstreams under a limit, coldPasses the
	// probed ones that were passed over for it, malformedCold the replies that name no
	// valid time.
	coldSends, coldPasses, malformedCold gometrics.Counter
	// crashes counts the attempts under which an upstream crashed,
	// crashChecksSkipped the broken ones for which that was not checked.
	crashes, crashChecksSkipped gometrics.Counter
	// leaving counts the upstreams that said that they are leaving, pauses the
	// pauses that upstreams asked for.
	leaving, pauses gometrics.Counter
	// crashReports counts the reports of other instances, quarantines and
	// quarantinesLifted this instance's own decisions.
	crashReports, quarantines, quarantinesLifted gometrics.Counter
	// silentLosses counts the attempts that got no byte of a reply from an upstream that
	// answers its health checks, silentResends the calls sent again for that.
	silentLosses, silentResends gometrics.Counter
	hedges                      gometrics.Counter
	handoffs                    gometrics.Counter
	// unreadyLookups counts the lookups answered with instances that are not ready.
	lookups, unreadyLookups gometrics.Counter
	warnings                gometrics.Counter
	logFailures             gometrics.Counter
	panics                  gometrics.Counter
	latency                 gometrics.Histogram
}

func newMetricSet(registry gometrics.Registry) *metricSet {
	c := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter(name, registry) }
	m := &metricSet{
		registry: registry, connsOpened: c("upstream_connections_opened_total"), probes: c("probes_total"), probesFailed: c("probes_failed_total"),
		strayReplies: c("stray_replies_total"), malformedReplies: c("malformed_replies_total"), repeatedIDs: c("repeated_ids_total"),
		coldSends: c("cold_sends_total"), coldPasses: c("cold_passes_total"), malformedCold: c("cold_malformed_total"),
		crashes: c("upstream_crashes_total"), crashChecksSkipped: c("crash_checks_skipped_total"),
		silentLosses: c("silent_losses_total"), silentResends: c("silent_resends_total"),
		leaving: c("upstreams_leaving_total"), pauses: c("upstream_pauses_total"),
		crashReports: c("crash_reports_total"), quarantines: c("quarantines_total"), quarantinesLifted: c("quarantines_lifted_total"),
		rateLimitChanges: c("upstream_rate_limit_changes_total"), limitedSends: c("rate_limited_sends_total"),
		rateLimited: c("rate_limited_passes_total"), hedges: c("hedges_total"), handoffs: c("handoffs_total"),
		lookups: c("lookups_total"), unreadyLookups: c("lookups_unready_total"), warnings: c("warnings_total"),
		logFailures: c("log_failures_total"), panics: c("panics_total"), latency: metrics.NewHistogram(),
	}
	registry.GetOrRegister("request_duration_us", m.latency)
	return m
}

// registerMemory adds gauges of the memory for callers, by its use, and of all of it.
func registerMemory(registry gometrics.Registry, b *membudget.Budget) {
	for _, u := range []membudget.Use{membudget.Connections, membudget.Requests, membudget.Replies} {
		registry.GetOrRegister("caller_memory_bytes."+u.String(), gometrics.NewFunctionalGauge(func() int64 { return b.Taken(u) }))
	}
	registry.GetOrRegister("caller_memory_limit_bytes", gometrics.NewFunctionalGauge(b.Total))
}

func (m *metricSet) recordRetry(o outcome) {
	gometrics.GetOrRegisterCounter("repeats_total."+o.String(), m.registry).Inc(1)
}

func (m *metricSet) recordRefusal(reason string) {
	gometrics.GetOrRegisterCounter("refusals_total."+reason, m.registry).Inc(1)
}

func (m *metricSet) recordResult(res callResult, took time.Duration) {
	gometrics.GetOrRegisterCounter("requests_total."+res.kind.String(), m.registry).Inc(1)
	if res.reason != "" {
		gometrics.GetOrRegisterCounter("request_endings_total."+res.reason, m.registry).Inc(1)
	}
	m.latency.Update(took.Microseconds())
}
