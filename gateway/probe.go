package gateway

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/pick"
)

// probeRounds are the numbers of upstreams that a pick asks one round after
// the other, while none of those asked is good.
var probeRounds = [...]int{1, 2, 4}

// Probes of a pick.
const (
	// probesMore are asked in each further search.
	probesMore = 2
	// enoughKnown is the number of upstreams known to be full from which on
	// a call is refused.
	enoughKnown = 6
	// probesCrowded are asked where all are known to be crowded.
	probesCrowded = 2
	// probeTimeout is how long a pick waits for the answers.
	probeTimeout = 25 * time.Millisecond
	// lateProbe is when a probe is given up with its connection.
	lateProbe = 300 * time.Millisecond
	// silentWeight is what a probe without an answer counts, as part of a
	// failed request.
	silentWeight = 0.5
	// crossDistance is what a request to another data centre costs beside
	// the work: the way, and the bytes that are paid for.
	crossDistance = 25 * time.Millisecond
)

// Faults of a probe.
var (
	errProbe  = errors.New("health answer without the upstream's ID")
	errSilent = errors.New("no health answer yet")
)

// answer is what an upstream said when it was asked.
type answer struct {
	upstream *discovery.Upstream
	report   *pick.Report // nil where it did not answer
	conn     *conn        // to be used or given back
	mark     int
	err      error
}

// probe asks an upstream for its load, on a connection that a request can
// follow on.
func (g *Gateway) probe(u *discovery.Upstream, path string, deadline time.Time) answer {
	a := answer{upstream: u}
	g.ev.with(u, func(ev *pick.Evidence) { a.mark = ev.Mark() })
	c := g.pool.take(u.Address)
	reused := c != nil
	for {
		if c == nil {
			if c, a.err = g.pool.dial(u.Address, time.Until(deadline)); a.err != nil {
				return a
			}
		}
		var closes bool
		if closes, a.err = g.askHealth(c, u, path, deadline, &a); a.err == nil {
			if a.conn = c; closes {
				a.conn = nil
				c.Close()
			}
			return a
		}
		c.Close()
		if !reused || time.Until(deadline) <= 0 {
			return a
		}
		c, reused = nil, false
	}
}

// askHealth makes one health request on c. It returns true where the upstream
// closes the connection.
func (g *Gateway) askHealth(c *conn, u *discovery.Upstream, path string, deadline time.Time, a *answer) (closes bool, err error) {
	out := fmt.Appendf(c.out[:0], "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, u.Address)
	c.out = out
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	g.m.probes.Inc(1)
	if _, err := g.exchange(c, out, "", false, deadline, resp); err != nil {
		return false, err
	}
	if id := string(resp.Header.Peek(g.d.UpstreamID)); id != u.ID {
		return false, fmt.Errorf("%w: got %q for %s", errProbe, id, u.ID)
	}
	r, err := g.d.ParseLoad(string(resp.Header.Peek(g.d.Load)))
	if err != nil {
		// The service tells no load: what this instance sent there is known.
		r = pick.Report{Slots: u.Slots, Pace: 1}
		g.ev.with(u, func(ev *pick.Evidence) { r.Running = ev.InFlight() })
	}
	r.Unwell = resp.StatusCode() != fasthttp.StatusOK
	a.report = &r
	return resp.ConnectionClose(), nil
}

// ask probes upstreams at the same time and waits a short time for their
// answers; later ones count as evidence and leave their connections.
func (g *Gateway) ask(list []*discovery.Upstream, path string) []answer {
	ch := make(chan answer, len(list))
	for _, u := range list {
		go func() { ch <- g.probe(u, path, time.Now().Add(lateProbe)) }()
	}
	out := make([]answer, 0, len(list))
	timeout := time.NewTimer(probeTimeout)
	defer timeout.Stop()
	for len(out) < len(list) {
		select {
		case a := <-ch:
			g.answered(a)
			out = append(out, a)
			continue
		case <-timeout.C:
		}
		break
	}
	if missing := len(list) - len(out); missing > 0 {
		out = append(out, silent(list, out)...)
		go g.collect(ch, missing)
	}
	return out
}

// silent returns an answer without a report for each upstream that gave none.
func silent(list []*discovery.Upstream, got []answer) []answer {
	var out []answer
	for _, u := range list {
		if !slices.ContainsFunc(got, func(a answer) bool { return a.upstream == u }) {
			out = append(out, answer{upstream: u, err: errSilent})
		}
	}
	return out
}

// collect takes the answers that came too late for a pick.
func (g *Gateway) collect(ch <-chan answer, n int) {
	for range n {
		a := <-ch
		g.answered(a)
		if a.conn != nil {
			g.pool.put(a.conn)
		}
	}
}

// answered takes the end of a probe as evidence.
func (g *Gateway) answered(a answer) {
	if a.err != nil {
		g.m.probesFailed.Inc(1)
		g.ev.record(g.now(), a.upstream, true, silentWeight)
	}
}

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
