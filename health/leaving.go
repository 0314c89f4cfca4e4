package health

import (
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

const (
	// minLeaving is the shortest time that an upstream counts as leaving after
	// its last leaving report.
	minLeaving = 10 * time.Second
	// leavingTimeout is the time after the last leaving report from which
	// answered probes show that an upstream is back, although no outage was
	// seen.
	leavingTimeout = 5 * time.Minute
	// downProbes is the number of consecutive unanswered probes that show that
	// an upstream is down.
	downProbes = 2
	// upProbes is the number of consecutive answered probes that show that an
	// upstream runs.
	upProbes = 2
	// peerReportGrace is the time after an upstream's return in which leaving
	// reports from other entries are taken as outdated.
	peerReportGrace = time.Minute
)

// leavingReport is what is known of an upstream's own report that it leaves, and
// of its return afterwards.
type leavingReport struct {
	last        time.Duration
	direct      bool // the upstream reported it to this entry
	unanswered  int  // consecutive unanswered probes
	answered    int  // consecutive answered probes
	seenDown    bool
	returnedAt  time.Duration
	hasReturned bool // returnedAt is set
}

// MarkLeaving records that upstream i itself reported that it is leaving.
func (t *Tracker) MarkLeaving(now time.Duration, i int) { t.setLeaving(now, i, true) }

// MarkLeavingByPeer records that another entry reported upstream i as leaving.
// It is ignored for peerReportGrace after this entry saw the upstream come
// back.
func (t *Tracker) MarkLeavingByPeer(now time.Duration, i int) {
	u := &t.upstreams[i]
	if u.state == Leaving || u.leavingReport.hasReturned && now-u.leavingReport.returnedAt < peerReportGrace {
		return
	}
	t.setLeaving(now, i, false)
}

func (t *Tracker) setLeaving(now time.Duration, i int, direct bool) {
	u := &t.upstreams[i]
	u.leavingReport = leavingReport{last: now, direct: direct || u.state == Leaving && u.leavingReport.direct}
	if u.state != Leaving {
		t.setState(now, i, Leaving)
		t.liftExcessEjections(now)
	}
}

// SetConfiguredLeaving records whether the configuration lists upstream i as
// leaving. An upstream that is no longer listed starts cold; its earlier
// leaving reports are dropped.
func (t *Tracker) SetConfiguredLeaving(now time.Duration, i int, leaving bool) {
	u := &t.upstreams[i]
	if u.configuredLeaving == leaving {
		return
	}
	u.configuredLeaving = leaving
	u.leavingReport = leavingReport{}
	t.setState(now, i, Cold)
	t.liftExcessEjections(now)
}

// ReportedLeaving reports whether upstream i is leaving and reported that to
// this entry itself.
func (t *Tracker) ReportedLeaving(i int) bool {
	u := &t.upstreams[i]
	return u.state == Leaving && u.leavingReport.direct
}

// Probed records the result of a probe of upstream i; load is nil if the probe
// failed. A leaving upstream goes on trial once it answers again after an
// outage, or answers long after its last leaving report.
func (t *Tracker) Probed(now time.Duration, i int, load *balance.Load) {
	if load != nil && load.Leaving {
		t.MarkLeaving(now, i)
		return
	}
	u := &t.upstreams[i]
	if u.state != Leaving {
		return
	}
	r := &u.leavingReport
	r.addProbe(load != nil)
	if r.isBack(now) {
		*r = leavingReport{returnedAt: now, hasReturned: true}
		u.ejectedUntil = now
		t.setState(now, i, Trial)
		t.liftExcessEjections(now)
	}
}

func (r *leavingReport) addProbe(answered bool) {
	if answered {
		r.answered++
		r.unanswered = 0
		return
	}
	r.answered = 0
	r.unanswered++
	r.seenDown = r.seenDown || r.unanswered >= downProbes
}

// isBack reports whether the probes show that the upstream runs again.
func (r *leavingReport) isBack(now time.Duration) bool {
	age := now - r.last
	return r.answered >= upProbes && age >= minLeaving && (r.seenDown || age >= leavingTimeout)
}
