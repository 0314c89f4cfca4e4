package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// crossingTime is how long after it was told of a pause an instance may still send,
	// maxCrossing how many requests after that.
	crossingTime = 500 * time.Millisecond
	maxCrossing  = 2
)

// notices is what an upstream says of itself, and who knows.
type notices struct {
	leaving bool
	// toldLeaving is when a caller of each instance incarnation had the response that
	// says so: the instance has read it by then.
	toldLeaving map[string]time.Time
	// pause is what the next request is refused with; 0 for none.
	pause time.Duration
	// told holds the pauses by the instance incarnation that was refused.
	told map[string]*toldPause
}

// toldPause is a pause that one instance was told of.
type toldPause struct {
	from, until time.Time
	crossed     int
}

// sayLeaving adds the header to a reply.
func (u *upstream) sayLeaving(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.notices.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
}

// setLeaving makes all replies say that the upstream is leaving.
func (u *upstream) setLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notices.leaving = true
}

// setPause makes the next request be refused with a pause.
func (u *upstream) setPause(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notices.pause = d
}

// recordToldLeaving records that an instance has passed on a response that says that
// the upstream is leaving.
func (u *upstream) recordToldLeaving(key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.notices.toldLeaving == nil {
		u.notices.toldLeaving = map[string]time.Time{}
	}
	if _, known := u.notices.toldLeaving[key]; !known {
		u.notices.toldLeaving[key] = time.Now()
	}
}

// refuseForPause checks that the request was allowed to come when it arrived, and refuses it
// if the upstream is to ask for a pause. The instance that sent it follows from its ID.
func (u *upstream) refuseForPause(w http.ResponseWriter, id string, arrived time.Time) bool {
	u.ledger.mu.Lock()
	sent := u.ledger.sentTo[id]
	u.ledger.mu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	n := &u.notices
	now := time.Now()
	if told, known := n.toldLeaving[sent.key]; known && sent.at.After(told) {
		u.ledger.addViolation("request %s came to the leaving upstream %s by %s, which had passed that on %v before the caller sent it", id, u.id, sent.key, sent.at.Sub(told))
	}
	if p := n.told[sent.key]; p != nil && arrived.After(p.from.Add(crossingTime)) && arrived.Before(p.until) {
		if p.crossed++; p.crossed == maxCrossing+1 {
			u.ledger.addViolation("%d requests came to upstream %s by %s, which was told of a pause of %v, the last %v after that", p.crossed, u.id, sent.key, p.until.Sub(p.from), arrived.Sub(p.from))
		}
	}
	if n.pause == 0 {
		return false
	}
	if n.told == nil {
		n.told = map[string]*toldPause{}
	}
	if u.proxy.withheldSince(sent.at) {
		delete(n.told, sent.key) // the instance may have given up the request before it came
	} else {
		n.told[sent.key] = &toldPause{from: now, until: now.Add(n.pause)}
	}
	w.Header().Set("X-Catkinrouter-Not-Executed", "1")
	w.Header().Set("Retry-After", fmt.Sprintf("%.2f", n.pause.Seconds()))
	w.WriteHeader(http.StatusServiceUnavailable)
	n.pause = 0
	return true
}

// injectNotice sometimes makes an upstream of the newest version say that it is leaving,
// with another one in its place, or ask for a pause. It draws from numbers of its own, so
// that the other faults of a seed stay the same.
func (s *soak) injectNotice() {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstreams[len(s.upstreams)-1-s.noticeRNG.IntN(2)]
	switch s.noticeRNG.IntN(4) {
	case 0:
		s.t.Logf("upstream %s says that it is leaving", u.id)
		u.setLeaving()
		s.addUpstream()
	case 1, 2:
		pause := time.Duration(600+s.noticeRNG.IntN(1500)) * time.Millisecond
		s.t.Logf("upstream %s asks for a pause of %v", u.id, pause)
		u.setPause(pause)
	}
}

// recordResponse records what an instance has passed on about upstreams.
func (s *soak) recordResponse(key string, resp response) {
	if resp.leaving == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.id == resp.leaving {
			u.recordToldLeaving(key)
		}
	}
}
