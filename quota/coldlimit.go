package quota

import (
	"math"
	"time"
)

// ColdLimit bounds what a cold upstream gets from all instances together. It answers the
// load of a whole data centre that returns cold.
type ColdLimit struct {
	// PerSecond is the rate that the upstream sustains while it is cold; 0 sets no limit.
	PerSecond float64
	// In any second it gets at most PerSecond x Overshoot + Slack requests.
	Overshoot, Slack float64
}

// Parameters of the division of a ColdLimit.
const (
	// coldWindow is the time in which a holder sends its part at most once: the second
	// of the bound, and the spread of the times that requests take to the upstream.
	coldWindow = 1100 * time.Millisecond
	// standInShare is the part of the budget of the data centre that stands in for the
	// upstream's own: some instances may still see the latter as live.
	standInShare = 1.0 / 3
	// minColdBudget is the least budget: one request for a holder, and one for an
	// instance that wrongly takes itself for the holder.
	minColdBudget = 2
	// coldRateSafety keeps the average below the rate.
	coldRateSafety = 0.95
	// coldWindowUse keeps the pace below what the window allows.
	coldWindowUse = 0.999
)

// budgets returns how many requests a second the upstream's own data centre and its
// stand-in may send.
func (l ColdLimit) budgets() (own, standIn int) {
	all := int(min(l.PerSecond*l.Overshoot+l.Slack, math.MaxInt32))
	standIn = max(minColdBudget, int(float64(all)*standInShare))
	return max(minColdBudget, all-standIn), standIn
}

// coldShare is an instance's part of a ColdLimit.
type coldShare struct {
	// part is how many requests the instance may send in a coldWindow, 0 for none.
	part int
	// interval is the time between two requests on average.
	interval time.Duration
	// phase is the part of an interval, 0 to 1, after which a new holder first sends.
	phase float64
}

// coldPart returns the part of a budget of the instance with the given rank among n. The
// budget is spread over n + 1 positions, of which the first remains unused: the parts add
// up to at most the budget also if each instance misses any one of the others.
func coldPart(budget, n, rank int) int {
	part := budget / (n + 1)
	if rank+1 < budget%(n+1) {
		part++
	}
	return part
}

// newColdShare returns the share of the instance with the given rank among n.
func (l ColdLimit) newColdShare(budget, n, rank int, phase float64) coldShare {
	part := coldPart(budget, n, rank)
	if part == 0 {
		return coldShare{}
	}
	all := float64(budget - coldPart(budget, n, -1))
	perSecond := min(coldRateSafety*l.PerSecond, coldWindowUse*all/coldWindow.Seconds()) * float64(part) / all
	interval := maxInterval
	if perSecond*maxInterval.Seconds() > 1 {
		interval = time.Duration(float64(time.Second) / perSecond)
	}
	return coldShare{part: part, interval: interval, phase: phase}
}
