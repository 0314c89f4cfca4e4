package balance

import "math"

const (
	// trustReports is the number of reports that trust is learned over.
	trustReports = 2000
	// trustErrors is the number of standard errors that a slope must be
	// above trustNone to count at all.
	trustErrors = 2
	// trustNone and trustFull are the slopes at and below which reports
	// count nothing, and at and above which they count fully.
	trustNone = 0.15
	trustFull = 0.5
)

// trust learns whether load reports are fresh when they come. Between two
// reports of an upstream the entry's own requests in flight to it changed by
// a known number. A fresh report changes with them, one to one, whatever the
// others do meanwhile; a report that lags does not. Trust follows the slope
// of one change over the other, over all upstreams (least squares), less its
// error: reports count nothing until they have shown to be fresh.
type trust struct {
	value float64 // 0 to 1
	// Decaying sums over reports: their number, the products of the changes
	// and the squares of each.
	n, both, own, working float64
}

func (t *trust) add(s *signals, working, own int) {
	if !s.others.known {
		return
	}
	dOwn, dWorking := float64(own-s.own), float64(working-s.working)
	const keep = 1 - 1.0/trustReports
	t.n = t.n*keep + 1
	t.both = t.both*keep + dOwn*dWorking
	t.own = t.own*keep + dOwn*dOwn
	t.working = t.working*keep + dWorking*dWorking
	if t.own < 1 {
		return
	}
	slope := t.both / t.own
	residual := max(0, t.working-slope*t.both) / t.n
	low := slope - trustErrors*math.Sqrt(residual/t.own)
	t.value = min(1, max(0, (low-trustNone)/(trustFull-trustNone)))
}
