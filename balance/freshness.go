package balance

import "math"

const (
	// freshnessReports is the number of reports over which freshness is
	// estimated: the decay constant of the sums.
	freshnessReports = 2000
	// freshnessStdErrors is the number of standard errors by which a slope
	// must exceed staleSlope before reports count at all.
	freshnessStdErrors = 2
	// Reports are ignored at a slope of staleSlope or less and count fully at
	// a slope of freshSlope or more.
	staleSlope = 0.15
	freshSlope = 0.5
)

// freshness estimates whether load reports are up to date when they arrive.
// Between two reports of an upstream, the number of the entry's own requests in
// flight to it changes by a known amount. A fresh report changes by the same
// amount, independent of the load by others; a report that lags does not. The
// value follows the slope of the change in reported load over the change in own
// requests, a least-squares fit over the reports of all upstreams, less
// freshnessStdErrors standard errors. So reports are ignored until they have
// proved to be fresh.
type freshness struct {
	value float64 // weight of the reports, 0 to 1
	// Exponentially decaying sums over the reports: their number, the products
	// of the two changes, and the squares of each.
	n, product, ownSquared, reportedSquared float64
}

func (f *freshness) add(s *signals, outstanding, own int) {
	if !s.others.known {
		return
	}
	dOwn, dOutstanding := float64(own-s.own), float64(outstanding-s.outstanding)
	const keep = 1 - 1.0/freshnessReports
	f.n = f.n*keep + 1
	f.product = f.product*keep + dOwn*dOutstanding
	f.ownSquared = f.ownSquared*keep + dOwn*dOwn
	f.reportedSquared = f.reportedSquared*keep + dOutstanding*dOutstanding
	if f.ownSquared < 1 {
		return
	}
	slope := f.product / f.ownSquared
	residual := max(0, f.reportedSquared-slope*f.product) / f.n
	low := slope - freshnessStdErrors*math.Sqrt(residual/f.ownSquared)
	f.value = min(1, max(0, (low-staleSlope)/(freshSlope-staleSlope)))
}
