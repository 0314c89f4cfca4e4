package health

import (
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

const (
	// leavingHold is the shortest time that an upstream's word that it
	// leaves holds.
	leavingHold = 10 * time.Second
	// leavingQuiet is the time after the last word from which answers to
	// probes show that an upstream came back, though it was never seen gone.
	leavingQuiet = 5 * time.Minute
	// goneProbes in a row without answer show that an upstream is gone.
	goneProbes = 2
	// backProbes in a row with an answer show that it runs.
	backProbes = 2
	// heardGrace is the time after a return in which the word of other
	// entries is taken as old.
	heardGrace = time.Minute
)

// word is what is known of an upstream's own word that it leaves.
type word struct {
	last     time.Duration
	own      bool // it told this entry itself
	silent   int  // probes in a row without answer
	answered int  // probes in a row with an answer
	gone     bool
	returned time.Duration
	back     bool // returned is set
}

// OwnWord records that upstream i itself said that it leaves.
func (t *Tracker) OwnWord(now time.Duration, i int) { t.leave(now, i, true) }

// OthersWord records that upstream i leaves by another entry's word. It is
// ignored for a while after this entry saw the upstream come back.
func (t *Tracker) OthersWord(now time.Duration, i int) {
	u := &t.upstreams[i]
	if u.state == Leaving || u.word.back && now-u.word.returned < heardGrace {
		return
	}
	t.leave(now, i, false)
}

func (t *Tracker) leave(now time.Duration, i int, own bool) {
	u := &t.upstreams[i]
	u.word = word{last: now, own: own || u.state == Leaving && u.word.own}
	if u.state != Leaving {
		t.set(now, i, Leaving)
		t.relax(now)
	}
}

// SetListed records whether the configuration lists upstream i as leaving.
// One that is listed no more starts cold, whatever it said before.
func (t *Tracker) SetListed(now time.Duration, i int, leaving bool) {
	u := &t.upstreams[i]
	if u.listed == leaving {
		return
	}
	u.listed = leaving
	u.word = word{}
	t.set(now, i, Cold)
	t.relax(now)
}

// SaidLeaving tells whether upstream i told this entry itself that it leaves.
func (t *Tracker) SaidLeaving(i int) bool {
	u := &t.upstreams[i]
	return u.state == Leaving && u.word.own
}

// Probed records the answer to a probe of upstream i; load is nil where it
// failed. An upstream that said it leaves goes on trial once it was seen gone
// and answers again, or answers long after its last word.
func (t *Tracker) Probed(now time.Duration, i int, load *balance.Load) {
	if load != nil && load.Leaving {
		t.OwnWord(now, i)
		return
	}
	u := &t.upstreams[i]
	if u.state != Leaving {
		return
	}
	w := &u.word
	w.probed(load != nil)
	if w.cameBack(now) {
		*w = word{returned: now, back: true}
		u.until = now
		t.set(now, i, Trial)
		t.relax(now)
	}
}

func (w *word) probed(answered bool) {
	if answered {
		w.answered++
		w.silent = 0
		return
	}
	w.answered = 0
	w.silent++
	w.gone = w.gone || w.silent >= goneProbes
}

func (w *word) cameBack(now time.Duration) bool {
	quiet := now - w.last
	return w.answered >= backProbes && quiet >= leavingHold && (w.gone || quiet >= leavingQuiet)
}
