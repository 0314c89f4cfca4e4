package probe

import "time"

const (
	// staleAfter is the age from which evidence is old.
	staleAfter = time.Second
	// perTick bounds the upstreams that one call of Due looks at.
	perTick = 32
	// lapse is the time after which a probe without an answer is given up.
	lapse = 5 * time.Second
)

// Target is an upstream to probe.
type Target struct {
	ID    string
	Slots int
}

// Evidence tells how old the newest load report of upstream i is; known is
// false where there is none. An upstream for which want is false is not
// probed.
type Evidence func(i int) (age time.Duration, known, want bool)

// Planner plans the probes of one entry to the upstreams of one service. It
// is not safe for concurrent use.
type Planner struct {
	targets []planned
	next    int
}

type planned struct {
	Target
	budget *Budget
	sent   time.Duration
	out    bool
}

// NewPlanner returns a Planner of targets. It keeps the budgets of prev for
// the targets that stay; prev may be nil.
func NewPlanner(now time.Duration, s Settings, targets []Target, prev *Planner) *Planner {
	p := &Planner{}
	for _, t := range targets {
		kept, ok := prev.find(t.ID)
		if !ok {
			kept = planned{budget: NewBudget(now, s, t.Slots)}
		}
		kept.Target = t
		kept.budget.Set(now, s, t.Slots)
		p.targets = append(p.targets, kept)
	}
	return p
}

// Set changes the terms of all budgets from now on.
func (p *Planner) Set(now time.Duration, s Settings) {
	for _, t := range p.targets {
		t.budget.Set(now, s, t.Slots)
	}
}

func (p *Planner) find(id string) (planned, bool) {
	if p == nil {
		return planned{}, false
	}
	for _, t := range p.targets {
		if t.ID == id {
			return t, true
		}
	}
	return planned{}, false
}

// Due appends to out the targets to probe now: those whose evidence is old,
// with no probe under way and a budget for one. It looks at a bounded number
// of targets, in turn.
func (p *Planner) Due(now time.Duration, e Evidence, out []int) []int {
	for range min(perTick, len(p.targets)) {
		p.next = (p.next + 1) % len(p.targets)
		if p.due(now, p.next, e) {
			out = append(out, p.next)
		}
	}
	return out
}

func (p *Planner) due(now time.Duration, i int, e Evidence) bool {
	t := &p.targets[i]
	if t.out && now-t.sent < lapse {
		return false
	}
	age, known, want := e(i)
	if !want || known && age < staleAfter {
		return false
	}
	if !t.budget.Take(now) {
		return false
	}
	t.out, t.sent = true, now
	return true
}

// Answered records that the probe of target i ended.
func (p *Planner) Answered(i int) { p.targets[i].out = false }
