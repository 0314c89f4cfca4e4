package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// shareWindow is the time constant of the shares of work.
	shareWindow = 10 * time.Second
	// shareStep is the longest time that a share goes without decay.
	shareStep = 100 * time.Millisecond
	// shareLeeway is how far a data centre's share of work may be from its
	// share of capacity before picking corrects it.
	shareLeeway = 0.03
	// sharePrior is work, in requests, that counts as spread evenly, so
	// that the first requests correct nothing.
	sharePrior = 50
)

// shares compares each data centre's share of the entry's work with its share
// of capacity.
type shares struct {
	places  []place
	total   float64
	decayed time.Duration
}

type place struct {
	name     string
	work     float64 // requests of class Short, decaying
	capacity float64 // share, 0 to 1
}

func (s *shares) place(name string) int {
	for i := range s.places {
		if s.places[i].name == name {
			return i
		}
	}
	s.places = append(s.places, place{name: name})
	return len(s.places) - 1
}

func (s *shares) keep(prev *shares) {
	s.decayed = prev.decayed
	for i := range s.places {
		for _, p := range prev.places {
			if p.name == s.places[i].name {
				s.places[i].work = p.work
				s.total += p.work
			}
		}
	}
}

func (s *shares) setCapacity(rows []row) {
	sum := 0.0
	for i := range s.places {
		s.places[i].capacity = 0
	}
	for i := range rows {
		s.places[rows[i].dc].capacity += rows[i].capacity()
		sum += rows[i].capacity()
	}
	for i := range s.places {
		s.places[i].capacity /= max(sum, 1e-9)
	}
}

func (s *shares) add(now time.Duration, dc int, work float64) {
	if dt := now - s.decayed; dt >= shareStep {
		f := math.Exp(-dt.Seconds() / shareWindow.Seconds())
		s.total *= f
		for i := range s.places {
			s.places[i].work *= f
		}
		s.decayed = now
	}
	s.places[dc].work += work
	s.total += work
}

// excess is the data centre's share of work less its share of capacity.
func (s *shares) excess(dc int) float64 {
	p := &s.places[dc]
	return (p.work+sharePrior*p.capacity)/(s.total+sharePrior) - p.capacity
}

// lacking returns the data centre that is furthest below its share by more
// than the leeway.
func (s *shares) lacking() (int, bool) {
	lowest, at := -shareLeeway, -1
	for i := range s.places {
		if e := s.excess(i); e < lowest {
			lowest, at = e, i
		}
	}
	return at, at >= 0
}

// DrawShared draws like Draw, but from the data centre that lacks work, where
// one is below its share of capacity by more than the leeway.
func (t *Table) DrawShared(rng *rand.Rand) (int, bool) {
	t.refresh()
	if dc, ok := t.shares.lacking(); ok {
		if i, ok := t.sampler.drawFrom(rng, dc); ok {
			return i, true
		}
	}
	return t.sampler.draw(rng)
}

// Over tells whether the data centre of upstream i is above its share of
// capacity by more than the leeway.
func (t *Table) Over(i int) bool { return t.shares.excess(t.rows[i].dc) > shareLeeway }

// Share is a data centre's share of the entry's work.
type Share struct {
	DataCentre string
	Work       float64 // 0 to 1
	Capacity   float64 // 0 to 1
}

// AppendShares appends the share of each data centre to out.
func (t *Table) AppendShares(out []Share) []Share {
	t.refresh()
	for _, p := range t.shares.places {
		out = append(out, Share{DataCentre: p.name, Work: p.work / max(t.shares.total, 1e-9), Capacity: p.capacity})
	}
	return out
}
