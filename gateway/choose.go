package gateway

import (
	"time"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/pick"
)

// probeRounds are the numbers of upstreams that a pick asks one round after
// the other, while none of those asked is good.
var probeRounds = [...]int{1, 2, 4}

// Bounds and weights of a pick.
const (
	// probesMore are asked in each further search.
	probesMore = 2
	// probesCrowded are asked where all are known to be crowded.
	probesCrowded = 2
	// enoughKnown is the number of upstreams known to be full from which on
	// a call is refused.
	enoughKnown = 6
	// crossDistance is what a request to another data centre costs beside
	// the work: the way, and the bytes that are paid for.
	crossDistance = 25 * time.Millisecond
)

// choice is the upstream picked for an attempt.
type choice struct {
	answer
	// cost is the expected delay, with what a failure would cost.
	cost  time.Duration
	delay time.Duration
	// known is the number of upstreams of which there was evidence.
	known int
	// since counts own requests sent there that the report can't know of.
	since int
}

// giveBack returns the connection of a choice that is not used.
func (g *Gateway) giveBack(ch choice) {
	if ch.conn != nil {
		g.pool.put(ch.conn)
	}
}

// candidates are the upstreams of a call's service in the order in which to
// ask them.
type candidates struct {
	list []*discovery.Upstream
	// open is the number of those that are not known to be crowded; they
	// come first.
	open int
}

// take splits off the first n.
func (c *candidates) take(n int) []*discovery.Upstream {
	first := c.list[:n]
	c.list, c.open = c.list[n:], max(0, c.open-n)
	return first
}

// choose picks an upstream of the service that the call was not sent to
// before; false where there is none. It asks few upstreams, near ones first,
// and further ones while none of them is good.
func (g *Gateway) choose(c *call) (choice, bool) {
	cands := g.candidates(c, true)
	if len(cands.list) == 0 {
		return choice{}, false
	}
	job := g.job(c)
	good := time.Duration(pick.GoodEnough * float64(job.Work))
	crowded := len(cands.list) - cands.open
	n := g.probes.take(g.now(), min(len(cands.list), max(cands.open, probesCrowded), probeRounds[0]))
	best := g.better(choice{}, job, g.ask(cands.take(n), c.service.HealthPath))
	best.known = n + crowded
	for _, round := range probeRounds[1:] {
		more := min(cands.open, round)
		if best.delay <= good || more == 0 || !g.probes.spare(g.now(), more) {
			break
		}
		known := best.known + more
		best = g.better(best, job, g.ask(cands.take(more), c.service.HealthPath))
		best.known = known
	}
	return best, true
}

// searchAgain looks for a better upstream than the one chosen, wherever it is;
// false where there is none to ask.
func (g *Gateway) searchAgain(c *call, ch choice) (choice, bool) {
	cands := g.candidates(c, false)
	n := min(cands.open, probesMore)
	if n == 0 || !g.probes.spare(g.now(), n) {
		return ch, false
	}
	g.giveBack(ch)
	best := g.better(choice{}, g.job(c), g.ask(cands.take(n), c.service.HealthPath))
	best.known = ch.known + n
	return best, true
}

func (g *Gateway) job(c *call) pick.Job {
	return pick.Job{
		Work: g.work.of(c.route.Name), FullFactor: g.work.full(c.service.Name).Factor(g.now()), MeanPace: g.work.paces(c.service.Name).Mean(),
		FailureCost: c.failureCost(),
	}
}

// better returns the best of the answers and the choice before; the other
// connections are given back.
func (g *Gateway) better(best choice, job pick.Job, answers []answer) choice {
	now := g.now()
	full, paces := g.work.full(answers[0].upstream.Service), g.work.paces(answers[0].upstream.Service)
	for _, a := range answers {
		cand := pick.Candidate{Report: a.report, Cold: now < a.upstream.ColdUntil}
		g.ev.with(a.upstream, func(ev *pick.Evidence) {
			cand.FailureRate, cand.SentSince = ev.FailureRate(now), ev.Since(a.mark)
			switch {
			case a.report == nil:
				ev.Silent(now)
			default:
				ev.Reported(now, a.report, full.Room(now, a.report, 0), paces.Slow(a.report.Pace), job.Turn())
			}
		})
		if a.report != nil {
			g.work.addPace(a.upstream.Service, a.report.Pace)
			g.work.changeFull(a.upstream.Service, func(f *pick.Fullness) { f.Asked(a.report.NearlyFull(0)) })
		}
		if a.upstream.DataCentre != g.opt.DataCentre {
			cand.Distance = crossDistance
		}
		delay := job.Delay(cand)
		cost := delay + job.Risk(cand)
		loser := a
		if best.upstream == nil || cost < best.cost {
			loser, best = best.answer, choice{answer: a, cost: cost, delay: delay, since: cand.SentSince}
		}
		if loser.conn != nil {
			g.pool.put(loser.conn)
		}
	}
	return best
}

// candidates returns the upstreams of the call's service, without those that
// it was sent to.
func (g *Gateway) candidates(c *call, nearFirst bool) candidates {
	all := g.view.Load().upstreams[c.service.Name]
	list := make([]*discovery.Upstream, 0, len(all))
	for _, u := range all {
		if !c.tried[u.ID] {
			list = append(list, u)
		}
	}
	now := g.now()
	out := candidates{list: make([]*discovery.Upstream, len(list))}
	order := g.order(len(list), func(i int) pick.Prospect {
		p := g.ev.prospect(now, list[i])
		p.Near = nearFirst && list[i].DataCentre == g.opt.DataCentre
		p.Open = nearFirst && g.pool.has(list[i].Address)
		if !p.Crowded {
			out.open++
		}
		return p
	})
	for i, k := range order {
		out.list[i] = list[k]
	}
	return out
}
