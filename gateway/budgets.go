package gateway

import (
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
)

// budgets bound the repeats and hedges of each service. They are safe for
// concurrent use.
type budgets struct {
	opt       BudgetOptions
	mu        sync.Mutex
	allowance float64
	rows      map[string]*budget // by service
}

// budget is a service's.
type budget struct {
	*attempt.Window
	// denied holds when calls of a priority last found nothing left.
	denied map[int]time.Duration
}

// yields tells whether a more urgent call found nothing left a short time ago:
// what there is now is kept for such calls.
func (b *budget) yields(now time.Duration, priority int) bool {
	for p, at := range b.denied {
		if p < priority && now-at < yieldFor {
			return true
		}
	}
	return false
}

// BudgetOptions bound the attempts beyond the first of all instances together.
type BudgetOptions struct {
	// Share is in attempts per call, Allowance in attempts per Window.
	Share     float64
	Allowance float64
	Window    time.Duration
}

// Parts of the fleet's budget that are used, so that views of the fleet that
// differ for a while don't break the bound.
const (
	shareUsed     = 0.92
	allowanceUsed = 0.6
	// hedgePart is the part of the budget that hedges may use; the rest is
	// kept for repeats of what failed.
	hedgePart = 0.6
	// yieldFor is how long less urgent calls leave the budget to more urgent
	// ones that found nothing left.
	yieldFor = 3 * time.Second
)

func newBudgets(opt BudgetOptions) *budgets {
	return &budgets{opt: opt, rows: map[string]*budget{}}
}

// set changes the bounds; counting begins anew where they differ.
func (b *budgets) set(opt BudgetOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if opt != b.opt {
		b.opt, b.rows = opt, map[string]*budget{}
	}
}

// fleet divides the allowance among n instances. A process that has just
// started takes none: the one before it in its place may have used it.
func (b *budgets) fleet(now time.Duration, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowance = 0
	if now >= b.opt.Window {
		b.allowance = allowanceUsed * b.opt.Allowance / float64(max(1, n))
	}
	for _, w := range b.rows {
		w.SetAllowance(b.allowance)
	}
}

func (b *budgets) row(service string) *budget {
	w := b.rows[service]
	if w == nil {
		w = &budget{attempt.NewWindow(shareUsed*b.opt.Share, b.allowance, b.opt.Window), map[int]time.Duration{}}
		b.rows[service] = w
	}
	return w
}

// call counts a call of the service.
func (b *budgets) call(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.row(service).Call(now)
}

// spare tells whether a call of the priority may make a hedge.
func (b *budgets) spare(now time.Duration, service string, priority int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(service)
	return !r.yields(now, priority) && r.Spare(now, hedgePart)
}

// take uses one attempt beyond the first for a call of the priority, or
// returns false where none is left for it. Priority 0 is the most urgent.
func (b *budgets) take(now time.Duration, service string, priority int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(service)
	switch {
	case r.yields(now, priority):
		return false
	case r.Take(now):
		return true
	}
	r.denied[priority] = now
	return false
}
