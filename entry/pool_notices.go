package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/notice"
)

// carryOverNotices returns what upstreams that keep their ID and address have said of
// themselves, by the index of ups.
func (p *Pool) carryOverNotices(ups []config.Upstream) []notice.State {
	out := make([]notice.State, len(ups))
	for i, u := range ups {
		if j, ok := p.find(u.ID); ok && p.upstreams[j].Address == u.Address {
			out[i] = p.notices[j]
		}
	}
	return out
}

// Observe records what a reply of an upstream says of itself.
func (p *Pool) Observe(now time.Duration, id string, n notice.Notice) {
	i, ok := p.find(id)
	if !ok {
		return
	}
	random := 0.0
	if n.Pause > 0 {
		random = p.rng.Float64()
	}
	if p.notices[i].Observe(now, n, random) != notice.None {
		p.updateWeights(now)
	}
}

// take counts a request to upstream i, which admits one. While the upstream is tried
// after a pause, it then admits no other.
func (p *Pool) take(now time.Duration, i int) {
	p.notices[i].Take(now)
	if !p.admits(now, i) {
		p.updateWeights(now)
	}
}

// admits reports whether upstream i, by what it has said of itself, takes a request.
func (p *Pool) admits(now time.Duration, i int) bool { return p.notices[i].Check(now).Admitted }

// PausedUntil returns the end of the first pause, if the Pool's upstreams that are not
// leaving all pause.
func (p *Pool) PausedUntil(now time.Duration) (until time.Duration, paused bool) {
	for i, u := range p.upstreams {
		a := p.notices[i].Check(now)
		switch {
		case a.Admitted && p.health.Weight(now, i) > 0:
			return 0, false
		case a.Admitted || u.Leaving:
			continue
		case !paused || a.Due < until:
			until, paused = max(a.Due, now), true
		}
	}
	return until, paused
}
