package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/customer"
	"github.com/catkinrouter/catkinrouter/ratelimit"
)

// customerLimits holds what this instance spends and allocates of customers' limits. Its times
// are those of Options.Elapsed: tokens and leases end while the machine is suspended.
type customerLimits struct {
	self    string
	metrics *customerMetrics

	mu    sync.Mutex
	quota ratelimit.Quota
	// allocators holds the addresses of all allocators, sorted; viewVersion increases
	// with each view of the fleet.
	allocators  []string
	viewVersion uint64
	allocator   *ratelimit.Allocator
	accounts    map[ratelimit.Key]*customerAccount
	sweptAt     time.Duration
	// limits holds the customers with a limit of the set they were taken from.
	limits map[ratelimit.Key]customer.Limit
	set    *customer.Set // nil if there are no customers
}

// customerAccount is the account of one customer.
type customerAccount struct {
	account *ratelimit.Account
	counts  customerCounts
	// limit, quota and viewVersion are those that the account was set to.
	limit       customer.Limit
	quota       ratelimit.Quota
	viewVersion uint64
	instances   int
	// lastSent is the number of the question that was sent last.
	lastSent uint32
	// wake is closed when calls that wait are to decide again; nil if none wait.
	wake chan struct{}
}

// tokenQuestion is a question and the peer address of the instance that gets it.
type tokenQuestion struct {
	to       string
	question ratelimit.Question
}

// newCustomerLimits returns the limits of an instance at the peer address self.
func newCustomerLimits(now time.Duration, self string, m *metricSet) *customerLimits {
	return &customerLimits{
		self: self, metrics: newCustomerMetrics(m.registry), allocator: ratelimit.NewAllocator(now, self, ratelimit.Quota{}),
		accounts: map[ratelimit.Key]*customerAccount{}, sweptAt: now,
	}
}

// setQuota replaces the quota.
func (l *customerLimits) setQuota(q CustomerQuota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota = ratelimit.Quota(q)
	l.allocator.SetQuota(l.quota)
}

// setCustomers replaces the customers' limits; set is nil if there are no customers.
func (l *customerLimits) setCustomers(set *customer.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if set == l.set {
		return
	}
	l.set, l.limits = set, map[ratelimit.Key]customer.Limit{}
	if set == nil {
		return
	}
	for _, name := range set.Names() {
		if c := set.ByName(name); c.Limit.Limited() {
			l.limits[ratelimit.KeyOf(name)] = c.Limit
		}
	}
}

// setFleet sets the allocators and the numbers of instances. live is the number of live ones.
func (l *customerLimits) setFleet(now time.Duration, f Fleet, live int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.viewVersion++
	l.allocators = slices.Clone(f.Allocators)
	l.allocator.SetFleet(now, l.allocators, live, f.Stored)
}

// accountSweepInterval is the time between two searches for idle accounts.
const accountSweepInterval = 10 * time.Second

// maintain tells the allocator that the process runs, and drops idle accounts.
func (l *customerLimits) maintain(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allocator.Alive(now)
	if now-l.sweptAt < accountSweepInterval {
		return
	}
	l.sweptAt = now
	for key, a := range l.accounts {
		if now-a.account.IdleSince() >= ratelimit.IdleTime {
			delete(l.accounts, key)
		}
	}
}

// accountOf returns the customer's account, set to the limit and the view in force. The caller
// holds the lock.
func (l *customerLimits) accountOf(now time.Duration, c *customer.Customer) *customerAccount {
	key := ratelimit.KeyOf(c.Name)
	a := l.accounts[key]
	if a == nil {
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		a = &customerAccount{account: ratelimit.NewAccount(key, rng), counts: l.metrics.of(c.Name)}
		l.accounts[key] = a
	}
	if a.viewVersion != l.viewVersion || a.limit != c.Limit || a.quota != l.quota {
		a.viewVersion = l.viewVersion
		a.account.SetAllocators(ratelimit.Assign(l.allocators, key))
	} else if a.instances == l.allocator.Instances(now) {
		return a
	}
	a.limit, a.quota, a.instances = c.Limit, l.quota, l.allocator.Instances(now)
	a.account.SetLimit(a.limit, a.quota, a.instances)
	return a
}

// questions returns the questions of the account that are due to other instances.
// This instance answers its own at once. The caller holds the lock.
func (l *customerLimits) questions(now time.Duration, a *customerAccount) (out []tokenQuestion) {
	for {
		to, q, ok := a.account.Ask(now)
		if !ok {
			return out
		}
		if to == l.self {
			l.receive(now, a, l.grant(now, l.self, q))
			continue
		}
		if q.Number == a.lastSent {
			l.metrics.retransmissions.Inc(1)
		}
		a.lastSent = q.Number
		out = append(out, tokenQuestion{to, q})
	}
}

// grant answers a question with the limit of the configuration in force. The caller holds the
// lock.
func (l *customerLimits) grant(now time.Duration, from string, q ratelimit.Question) ratelimit.Reply {
	return l.allocator.Grant(now, from, l.limits[q.Customer], q)
}

// receive passes a reply to the account, and wakes the calls that wait for it. The caller
// holds the lock.
func (l *customerLimits) receive(now time.Duration, a *customerAccount, r ratelimit.Reply) {
	if a.account.Receive(now, r) {
		a.wakeAll()
	}
}

// wakeAll makes all calls that wait for a token decide again.
func (a *customerAccount) wakeAll() {
	if a.wake != nil {
		close(a.wake)
		a.wake = nil
	}
}

// take decides about a call and returns the questions to send, and what wakes the call if
// it waits. first is set unless the call waited before.
func (l *customerLimits) take(now time.Duration, c *customer.Customer, first, final bool) (d ratelimit.Decision, questions []tokenQuestion, wake <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accountOf(now, c)
	if !first {
		a.account.StopWaiting()
	}
	d = a.account.Take(now, first, final)
	if d.Verdict == ratelimit.Wait && a.wake == nil {
		a.wake = make(chan struct{})
	}
	wake = a.wake
	questions = l.questions(now, a)
	a.counts.count(d)
	if !first && d.Verdict != ratelimit.Wait {
		a.wakeAll() // what this call found out holds for the others
	}
	return d, questions, wake
}

// giveBack returns the token of a call that was not sent to the customer's account.
func (l *customerLimits) giveBack(now time.Duration, name string, d ratelimit.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[ratelimit.KeyOf(name)]; a != nil {
		a.account.Return(now, d)
		l.metrics.returned.Inc(1)
	}
}

// answer answers a question of the instance at the peer address from.
func (l *customerLimits) answer(now time.Duration, from string, q ratelimit.Question) ratelimit.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant(now, from, q)
}

// receiveFromPeer takes a reply of another instance.
func (l *customerLimits) receiveFromPeer(now time.Duration, r ratelimit.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[r.Customer]; a != nil {
		l.receive(now, a, r)
	}
}
