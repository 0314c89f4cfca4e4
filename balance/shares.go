package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// shareWindow is the time constant of the decay of the shares of work.
	shareWindow = 10 * time.Second
	// shareDecayInterval is the shortest time between two decays of the
	// shares of work.
	shareDecayInterval = 100 * time.Millisecond
	// shareTolerance is the difference between a data centre's share of work
	// and its share of capacity up to which picking does not correct it.
	shareTolerance = 0.03
	// sharePrior is an amount of work, in requests of class Short, that is
	// assumed to be spread in proportion to capacity, so that the first
	// requests cause no correction.
	sharePrior = 50
)

// shares compares each data centre's share of the entry's work with its share
// of capacity.
type shares struct {
	dataCentres []dcShare
	total       float64
	decayedAt   time.Duration
}

type dcShare struct {
	name     string
	work     float64 // in requests of class Short, decaying
	capacity float64 // share of the total, 0 to 1
}

// dcIndex returns the index of the data centre, and adds it if it is new.
func (s *shares) dcIndex(name string) int {
	for i := range s.dataCentres {
		if s.dataCentres[i].name == name {
			return i
		}
	}
	s.dataCentres = append(s.dataCentres, dcShare{name: name})
	return len(s.dataCentres) - 1
}

// copyWork copies the work of the data centres that prev has too.
func (s *shares) copyWork(prev *shares) {
	s.decayedAt = prev.decayedAt
	for i := range s.dataCentres {
		for _, p := range prev.dataCentres {
			if p.name == s.dataCentres[i].name {
				s.dataCentres[i].work = p.work
				s.total += p.work
			}
		}
	}
}

func (s *shares) setCapacity(rows []row) {
	sum := 0.0
	for i := range s.dataCentres {
		s.dataCentres[i].capacity = 0
	}
	for i := range rows {
		s.dataCentres[rows[i].dc].capacity += rows[i].capacity()
		sum += rows[i].capacity()
	}
	for i := range s.dataCentres {
		s.dataCentres[i].capacity /= max(sum, 1e-9)
	}
}

func (s *shares) add(now time.Duration, dc int, work float64) {
	if dt := now - s.decayedAt; dt >= shareDecayInterval {
		f := math.Exp(-dt.Seconds() / shareWindow.Seconds())
		s.total *= f
		for i := range s.dataCentres {
			s.dataCentres[i].work *= f
		}
		s.decayedAt = now
	}
	s.dataCentres[dc].work += work
	s.total += work
}

// excess returns the data centre's share of work minus its share of capacity.
func (s *shares) excess(dc int) float64 {
	p := &s.dataCentres[dc]
	return (p.work+sharePrior*p.capacity)/(s.total+sharePrior) - p.capacity
}

// underloaded returns the data centre furthest below its share of capacity, or
// false if none is below it by more than shareTolerance.
func (s *shares) underloaded() (int, bool) {
	lowest, at := -shareTolerance, -1
	for i := range s.dataCentres {
		if e := s.excess(i); e < lowest {
			lowest, at = e, i
		}
	}
	return at, at >= 0
}

// DrawBalanced draws like Draw, but if a data centre is below its share of
// capacity by more than shareTolerance, it draws from the one furthest below.
func (t *Table) DrawBalanced(rng *rand.Rand) (int, bool) {
	t.refresh()
	if dc, ok := t.shares.underloaded(); ok {
		if i, ok := t.sampler.drawFrom(rng, dc); ok {
			return i, true
		}
	}
	return t.sampler.draw(rng)
}

// AboveShare reports whether the data centre of upstream i is above its share
// of capacity by more than shareTolerance.
func (t *Table) AboveShare(i int) bool { return t.shares.excess(t.rows[i].dc) > shareTolerance }

// Share is a data centre's share of the entry's work and of the capacity.
type Share struct {
	DataCentre string
	Work       float64 // 0 to 1
	Capacity   float64 // 0 to 1
}

// AppendShares appends the Share of each data centre to out.
func (t *Table) AppendShares(out []Share) []Share {
	t.refresh()
	for _, p := range t.shares.dataCentres {
		out = append(out, Share{DataCentre: p.name, Work: p.work / max(t.shares.total, 1e-9), Capacity: p.capacity})
	}
	return out
}
