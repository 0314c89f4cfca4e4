package ratelimit

import "time"

// exchange is the state of the questions to one allocator.
type exchange struct {
	address string
	// pending is set while a question awaits its reply; askedAt is when it was first sent.
	pending, repeated bool
	question          Question
	askedAt           time.Duration
	// suspect is set after a question without a reply, warming by a reply that said so,
	// replied by any reply. askAt is when a suspect or warming allocator is asked next.
	suspect, warming, replied bool
	partial                   bool // of the last reply
	askAt                     time.Duration
	// notBefore is when the allocator is asked again after it granted too few tokens.
	notBefore time.Duration
}

// set sets the allocator's address, and forgets what is known of another one.
func (e *exchange) set(address string) {
	if e.address != address {
		*e = exchange{address: address}
	}
}

// authoritative reports whether the allocator's refusals mean that the limit is used up.
func (e *exchange) authoritative() bool { return e.replied && !e.suspect && !e.warming && !e.partial }

// expire ends a question without a reply.
func (e *exchange) expire(now time.Duration) {
	if e.pending && now-e.askedAt >= ReplyTimeout {
		e.pending, e.suspect, e.askAt = false, true, now+suspectInterval
	}
}

// due reports whether a question may be sent now.
func (e *exchange) due(now time.Duration) bool {
	return e.address != "" && !e.pending && now >= e.notBefore && (!e.suspect || now >= e.askAt)
}

// begin records that a question is sent.
func (e *exchange) begin(now time.Duration, q Question) Question {
	e.pending, e.repeated, e.question, e.askedAt = true, false, q, now
	return q
}

// expireExchanges ends the questions that had no reply in time.
func (a *Account) expireExchanges(now time.Duration) {
	a.primary.expire(now)
	a.backup.expire(now)
}

// canAsk reports whether a call may get a token by waiting.
func (a *Account) canAsk(now time.Duration) bool {
	if a.primary.pending || a.primary.due(now) {
		return true
	}
	return a.primary.suspect && (a.backup.pending || a.backup.due(now))
}

// Ask returns the next question to send and the address of its receiver. It is called
// until it returns false: after each Take, and RepeatAfter and ReplyTimeout after a question
// was returned.
func (a *Account) Ask(now time.Duration) (to string, q Question, ok bool) {
	a.expireExchanges(now)
	switch p := &a.primary; {
	case p.pending && !p.repeated && now-p.askedAt >= RepeatAfter:
		p.repeated = true
		return p.address, p.question, true
	case p.due(now) && a.wantsPrimary(now):
		return p.address, p.begin(now, a.question(now, false)), true
	}
	late := a.primary.suspect || a.primary.pending && a.primary.repeated
	if late && a.missing(now) > 0 && a.backup.due(now) {
		return a.backup.address, a.backup.begin(now, a.question(now, true)), true
	}
	return "", Question{}, false
}

// wantsPrimary reports whether the primary allocator is asked now: for calls that wait,
// ahead of need, and to learn that it answers again.
func (a *Account) wantsPrimary(now time.Duration) bool {
	if a.usesLease() {
		return now >= a.primary.askAt
	}
	if a.missing(now) > 0 {
		return true
	}
	ahead := a.ahead(now)
	return ahead > 1 && now >= a.aheadAt && 2*a.held() < ahead
}

// missing returns the number of calls that wait for tokens which are not there yet. Calls
// that are refused, or for which there are tokens, may not have been woken.
func (a *Account) missing(now time.Duration) int {
	if now < a.refusedUntil {
		return 0
	}
	return max(0, a.waiting-a.held())
}

// ahead returns how many tokens are to be held ahead of need.
func (a *Account) ahead(now time.Duration) int {
	lead := min(maxLead, a.quota.lifetime(a.limit)/2)
	return int(min(a.demand.rate(now, demandWindow), a.limit.PerSecond) * lead.Seconds())
}

// question returns a new question to the primary or the backup allocator. Refused calls and
// the lease are reported to the primary only.
func (a *Account) question(now time.Duration, backup bool) Question {
	a.number++
	q := Question{Number: a.number, Customer: a.customer, Backup: backup, Waiting: min(a.missing(now), maxWant), Refused: min(a.refused, maxWant)}
	q.Want = min(q.Waiting+max(0, a.ahead(now)-max(0, a.held()-a.waiting)), maxWant)
	if !backup {
		a.refused = 0
		q.Lease, q.Spent = a.lease.at(now), a.lease.spent
	}
	return q
}

// Receive takes a reply and reports whether it belongs to an open question.
func (a *Account) Receive(now time.Duration, r Reply) bool {
	e := &a.primary
	if r.Backup {
		e = &a.backup
	}
	if r.Unknown || !e.pending || e.question.Number != r.Number {
		return false
	}
	e.pending, e.suspect, e.replied, e.partial = false, false, true, r.Partial
	if !r.Backup {
		e.warming, e.askAt = r.Warming, now+suspectInterval
		a.lease.renew(e.askedAt, r)
	}
	if expires := e.askedAt + a.quota.lifetime(a.limit); r.Granted > 0 && now < expires {
		a.insert(lot{min(r.Granted, maxWant), expires})
	}
	if r.Backup && r.Granted < e.question.Waiting {
		e.notBefore = now + min(r.AskAfter, maxAskAfter)
	}
	if r.Granted < e.question.Want {
		a.aheadAt = now + min(r.AskAfter, maxAskAfter)
	}
	if r.Granted < e.question.Waiting && (!r.Backup || a.primary.suspect) {
		a.refusedUntil = now + min(r.AskAfter, maxAskAfter)
		a.promisedAt = now + min(r.RetryAfter, maxRetryAfter)
	}
	return true
}
