package gateway

import (
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
)

// retryBudgets limit the retries and hedges of each service. They are safe for
// concurrent use.
type retryBudgets struct {
	opt       RetryBudgetOptions
	mu        sync.Mutex
	allowance float64
	byService map[string]*serviceBudget
}

// serviceBudget is the retry budget of one service.
type serviceBudget struct {
	*attempt.SlidingBudget
	// deniedAt holds, by priority, when a call last found the budget
	// exhausted.
	deniedAt map[int]time.Duration
}

// reservedForUrgent reports whether a more urgent call found the budget
// exhausted within urgentReserveTime. What is available now is then kept for
// such calls.
func (b *serviceBudget) reservedForUrgent(now time.Duration, priority int) bool {
	for p, at := range b.deniedAt {
		if p < priority && now-at < urgentReserveTime {
			return true
		}
	}
	return false
}

// RetryBudgetOptions limit the retries and hedges of all instances together.
type RetryBudgetOptions struct {
	// Share is in extra attempts per call, Allowance in extra attempts per
	// Window.
	Share     float64
	Allowance float64
	Window    time.Duration
}

// Parts of the configured budget that are used. The safety factors keep the
// fleet within the budget while instances disagree on the fleet's size.
const (
	shareSafetyFactor     = 0.92
	allowanceSafetyFactor = 0.6
	// maxHedgeShare is the share of the budget that hedges may use; the rest
	// is kept for retries of failed attempts.
	maxHedgeShare = 0.6
	// urgentReserveTime is how long less urgent calls leave the budget to more
	// urgent ones that found it exhausted.
	urgentReserveTime = 3 * time.Second
)

func newRetryBudgets(opt RetryBudgetOptions) *retryBudgets {
	return &retryBudgets{opt: opt, byService: map[string]*serviceBudget{}}
}

// setLimits changes the limits. If they differ, counting starts again.
func (b *retryBudgets) setLimits(opt RetryBudgetOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if opt != b.opt {
		b.opt, b.byService = opt, map[string]*serviceBudget{}
	}
}

// setInstances divides the allowance among n instances. A process that started
// less than a Window ago gets none, because the process that it replaces may
// have used it.
func (b *retryBudgets) setInstances(now time.Duration, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowance = 0
	if now >= b.opt.Window {
		b.allowance = allowanceSafetyFactor * b.opt.Allowance / float64(max(1, n))
	}
	for _, budget := range b.byService {
		budget.SetAllowance(b.allowance)
	}
}

func (b *retryBudgets) forService(service string) *serviceBudget {
	budget := b.byService[service]
	if budget == nil {
		budget = &serviceBudget{attempt.NewSlidingBudget(shareSafetyFactor*b.opt.Share, b.allowance, b.opt.Window), map[int]time.Duration{}}
		b.byService[service] = budget
	}
	return budget
}

// recordCall counts a call of the service.
func (b *retryBudgets) recordCall(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forService(service).Call(now)
}

// allowsHedge reports whether a call of the priority may be hedged.
func (b *retryBudgets) allowsHedge(now time.Duration, service string, priority int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.forService(service)
	return !budget.reservedForUrgent(now, priority) && budget.HasHeadroom(now, maxHedgeShare)
}

// allowsRetry reports whether take would allow a call of the priority an extra attempt.
func (b *retryBudgets) allowsRetry(now time.Duration, service string, priority int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.forService(service)
	return !budget.reservedForUrgent(now, priority) && budget.HasHeadroom(now, 1)
}

// take uses one extra attempt for a call of the priority. It returns false if
// none is available to that priority. Priority 0 is the most urgent.
func (b *retryBudgets) take(now time.Duration, service string, priority int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.forService(service)
	switch {
	case budget.reservedForUrgent(now, priority):
		return false
	case budget.Take(now):
		return true
	}
	budget.deniedAt[priority] = now
	return false
}
