package gateway

import (
	"testing"
	"time"
)

// The limit that an upstream names is known from its health replies and answers
// until it no longer names one; a malformed one leaves the last in force.
func TestRateLimitFollowsReplies(t *testing.T) {
	u := newStub(t, "u", answerOK)
	tg := newTestGateway(t)
	tg.configure(2*time.Second, u)
	up := tg.g.snapshot.Load().upstreams[testService][0]
	for _, step := range []struct {
		header string
		want   rateLimit
	}{
		{"", rateLimit{}},
		{"500", rateLimit{named: true, perSecond: 500}},
		{"none", rateLimit{named: true, perSecond: 500}},
		{"250.5", rateLimit{named: true, perSecond: 250.5}},
		{"", rateLimit{}},
	} {
		u.setRateLimit(step.header)
		wantStatus(t, tg.call("GET", "/clue/1", "limit-"+step.header, ""), 200)
		if got := tg.g.evidence.rateLimitOf(up); got != step.want {
			t.Errorf("after the header %q the limit is %+v, want %+v", step.header, got, step.want)
		}
	}
	if n := tg.g.metrics.rateLimitChanges.Count(); n != 3 {
		t.Errorf("%d changes counted, want 3", n)
	}
}
