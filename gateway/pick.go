package gateway

import (
	"errors"
	"time"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/pick"
	"github.com/catkinrouter/catkinrouter/quota"
)

// probeRoundSizes are the numbers of upstreams probed in successive rounds. A
// further round follows only while no probed upstream has an acceptable delay.
var probeRoundSizes = [...]int{1, 2, 4}

// Limits and weights of a pick.
const (
	// furtherSearchProbes is the number of upstreams probed in each further
	// search.
	furtherSearchProbes = 2
	// backoffSearchProbes limits the first round when all upstreams are in
	// probe backoff.
	backoffSearchProbes = 2
	// minKnownToRefuse is the number of upstreams known to be full from which
	// a call is refused.
	minKnownToRefuse = 6
	// crossDataCentreCost is the additional cost of a request to another data
	// centre: the network latency, and the traffic that is paid for.
	crossDataCentreCost = 25 * time.Millisecond
)

// choice is the upstream picked for an attempt.
type choice struct {
	probeResult
	// cost is the expected delay plus the expected cost of a failure.
	cost  time.Duration
	delay time.Duration
	// known is the number of upstreams for which there was evidence.
	known int
	// sentSince counts this instance's requests to the upstream that the
	// report does not include yet.
	sentSince int
	// admitted is set once the choice was counted as a request, under the upstream's
	// rateLimit.
	admitted  bool
	rateLimit quota.Limit
	// cold is set if the choice was counted at coldAt for a cold upstream, coldRefused if
	// the limit of the cold upstream did not admit it.
	cold, coldRefused bool
	coldAt            time.Duration
}

// releaseChoice returns the connection of an unused choice to the pool, and what was
// counted for it.
func (g *Gateway) releaseChoice(ch choice) {
	g.withdraw(&ch)
	if ch.conn != nil {
		g.pool.put(ch.conn)
	}
}

// candidates are the upstreams of a call's service in the order in which they
// are probed.
type candidates struct {
	list []*discovery.Upstream
	// available is the number of upstreams that are not in probe backoff;
	// they come first.
	available int
}

// take removes and returns the first n upstreams.
func (c *candidates) take(n int) []*discovery.Upstream {
	first := c.list[:n]
	c.list, c.available = c.list[n:], max(0, c.available-n)
	return first
}

// pickUpstream picks an upstream of the service to which the call has not been
// sent yet, and returns false if there is none that admits a request. It
// probes few upstreams, those in the same data centre first, and more of them
// while none has an acceptable delay.
func (g *Gateway) pickUpstream(c *call) (choice, bool) {
	cands := g.candidates(c, true)
	if len(cands.list) == 0 {
		return choice{}, false
	}
	job := g.job(c)
	acceptable := time.Duration(pick.AcceptableDelayFactor * float64(job.Work))
	inBackoff := len(cands.list) - cands.available
	n := g.probeBudget.take(g.now(), min(len(cands.list), max(cands.available, backoffSearchProbes), probeRoundSizes[0]))
	best := g.pickBest(choice{}, job, g.probeAll(cands.take(n), c.service.HealthPath))
	best.known = n + inBackoff
	for _, round := range probeRoundSizes[1:] {
		if best.upstream != nil && best.delay <= acceptable {
			break
		}
		more := g.furtherProbes(best, min(cands.available, round))
		if more == 0 {
			break
		}
		known := best.known + more
		best = g.pickBest(best, job, g.probeAll(cands.take(more), c.service.HealthPath))
		best.known = known
	}
	return best, best.upstream != nil
}

// furtherProbes returns how many of n further probes may be sent: those that the
// budget has to spare, and minProbes while no upstream has admitted the call.
func (g *Gateway) furtherProbes(best choice, n int) int {
	switch {
	case n == 0 || g.probeBudget.takeSpare(g.now(), n):
		return n
	case best.upstream == nil:
		return g.probeBudget.take(g.now(), min(n, minProbes))
	}
	return 0
}

// probeFurther looks for a better upstream than ch in all data centres. It
// returns false if there is none to probe.
func (g *Gateway) probeFurther(c *call, ch choice) (choice, bool) {
	cands := g.candidates(c, false)
	n := min(cands.available, furtherSearchProbes)
	if n == 0 || !g.probeBudget.takeSpare(g.now(), n) {
		return ch, false
	}
	g.releaseChoice(ch)
	best := g.pickBest(choice{}, g.job(c), g.probeAll(cands.take(n), c.service.HealthPath))
	best.known = ch.known + n
	return best, true
}

func (g *Gateway) job(c *call) pick.Job {
	return pick.Job{
		Work: c.work(), FullFactor: g.estimates.fullnessOf(c.service.Name).Factor(g.now()), MeanPace: g.estimates.pacesOf(c.service.Name).Mean(),
		FailureCost: c.failureCost(),
	}
}

// pickBest returns the best of the probe results and the previous choice, and
// releases the others. An upstream that admits no request is never chosen.
func (g *Gateway) pickBest(best choice, job pick.Job, results []probeResult) choice {
	now := g.now()
	fullness, paces := g.estimates.fullnessOf(results[0].upstream.Service), g.estimates.pacesOf(results[0].upstream.Service)
	for _, res := range results {
		cand := pick.Candidate{Report: res.report, Cold: now < g.evidence.coldUntil(res.upstream)}
		g.evidence.update(res.upstream, func(ev *pick.Evidence) {
			cand.FailureRate, cand.SentSince = ev.FailureRate(now), ev.Since(res.sendMark)
			switch {
			case errors.Is(res.err, errUnwanted): // not probed
			case res.report == nil:
				ev.RecordNoAnswer(now)
			default:
				ev.RecordReport(now, res.report, fullness.Room(now, res.report, 0), paces.Slow(res.report.Pace), job.MeanServiceTime())
			}
		})
		if res.report != nil {
			g.estimates.recordPace(res.upstream.Service, res.report.Pace)
			g.estimates.updateFullness(res.upstream.Service, func(f *pick.Fullness) { f.RecordReport(f.Room(now, res.report, 0)) })
		}
		if res.upstream.DataCentre != g.opt.DataCentre {
			cand.Distance = crossDataCentreCost
		}
		delay := job.Delay(cand)
		cost := delay + job.Risk(cand)
		rejected := choice{probeResult: res}
		better := choice{probeResult: res, cost: cost, delay: delay, sentSince: cand.SentSince}
		if (best.upstream == nil || cost < best.cost) && g.admit(&better) {
			rejected, best = best, better
		}
		g.releaseChoice(rejected)
	}
	return best
}

// candidates returns the upstreams of the call's service, except those to which the
// call has been sent, those that are leaving or asked for a pause, and those whose rate
// limit, or limit while cold, admits no request. Of the last, one whose limit may be out of
// date is probed last.
func (g *Gateway) candidates(c *call, localFirst bool) candidates {
	all := c.upstreams()
	list := make([]*discovery.Upstream, 0, len(all))
	prospects := make([]pick.Prospect, 0, len(all))
	now, available := g.now(), 0
	for _, u := range all {
		if c.tried[u.ID] {
			continue
		}
		p, a := g.evidence.prospect(now, u)
		if !a.notice.Admitted || !a.rate.Admitted && !a.rate.Recheck || !a.cold.Admitted && !a.cold.Recheck {
			continue
		}
		p.InBackoff = p.InBackoff || !a.rate.Admitted || !a.cold.Admitted
		p.Local = localFirst && u.DataCentre == g.opt.DataCentre
		p.IdleConn = localFirst && g.pool.hasIdle(u.Address)
		if !p.InBackoff {
			available++
		}
		list, prospects = append(list, u), append(prospects, p)
	}
	out := candidates{list: make([]*discovery.Upstream, len(list)), available: available}
	order := g.probeOrder(len(list), func(i int) pick.Prospect { return prospects[i] })
	for i, k := range order {
		out.list[i] = list[k]
	}
	return out
}
