package probe

import "time"

const (
	// staleAfter is the age from which a load report is stale.
	staleAfter = time.Second
	// maxScan is the maximum number of targets that one call of Due checks.
	maxScan = 32
	// probeTimeout is the time after which a probe without an answer no longer
	// blocks the next one.
	probeTimeout = 5 * time.Second
)

// Target is an upstream to probe.
type Target struct {
	ID    string
	Slots int
}

// ReportAge returns the age of the latest load report of target i; known is
// false if there is none. A target for which want is false is not probed.
type ReportAge func(i int) (age time.Duration, known, want bool)

// Planner plans the probes of one entry to the upstreams of one service. It
// is not safe for concurrent use.
type Planner struct {
	targets []targetState
	last    int // index of the target checked last
}

// targetState is a Target with its budget and the state of its last probe.
type targetState struct {
	Target
	budget  *Budget
	sentAt  time.Duration // start of the last probe
	pending bool          // the last probe has not ended
}

// NewPlanner returns a Planner for targets. It takes over the budgets and pending
// probes of prev for the targets that remain; prev may be nil.
func NewPlanner(now time.Duration, s Settings, targets []Target, prev *Planner) *Planner {
	p := &Planner{}
	for _, t := range targets {
		kept, ok := prev.find(t.ID)
		if !ok {
			kept = targetState{budget: NewBudget(now, s, t.Slots)}
		}
		kept.Target = t
		kept.budget.Set(now, s, t.Slots)
		p.targets = append(p.targets, kept)
	}
	return p
}

// Set changes the settings of all budgets from now on.
func (p *Planner) Set(now time.Duration, s Settings) {
	for _, t := range p.targets {
		t.budget.Set(now, s, t.Slots)
	}
}

func (p *Planner) find(id string) (targetState, bool) {
	if p == nil {
		return targetState{}, false
	}
	for _, t := range p.targets {
		if t.ID == id {
			return t, true
		}
	}
	return targetState{}, false
}

// Due appends to out the indices of the targets to probe now: those with a stale
// or missing load report, no pending probe and a budget that allows one. Each
// call checks at most maxScan targets, in turn.
func (p *Planner) Due(now time.Duration, reportAge ReportAge, out []int) []int {
	for range min(maxScan, len(p.targets)) {
		p.last = (p.last + 1) % len(p.targets)
		if p.due(now, p.last, reportAge) {
			out = append(out, p.last)
		}
	}
	return out
}

func (p *Planner) due(now time.Duration, i int, reportAge ReportAge) bool {
	t := &p.targets[i]
	if t.pending && now-t.sentAt < probeTimeout {
		return false
	}
	age, known, want := reportAge(i)
	if !want || known && age < staleAfter {
		return false
	}
	if !t.budget.Allow(now) {
		return false
	}
	t.pending, t.sentAt = true, now
	return true
}

// Finished records that the probe of target i has ended, with or without an
// answer.
func (p *Planner) Finished(i int) { p.targets[i].pending = false }
