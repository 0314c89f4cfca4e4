package pick

// Parameters of Paces.
const (
	// paceAlpha is the weight of one report in the moving averages.
	paceAlpha = 0.02
	// slowPace is the pace from which an upstream counts as slow.
	slowPace = 2.0
	// maxSlowShare is the share of slow reports from which a slow pace is
	// normal for the service, so that waiting for a faster upstream is
	// pointless.
	maxSlowShare = 0.7
)

// Paces tracks the paces that the upstreams of a service report. The zero
// value has no reports.
type Paces struct {
	mean float64
	// slowShare is the share of reports with a slow pace.
	slowShare float64
}

// Add records the pace of a load report.
func (p *Paces) Add(pace float64) {
	if p.mean == 0 {
		p.mean = pace
	}
	p.mean += paceAlpha * (pace - p.mean)
	v := 0.0
	if pace >= slowPace {
		v = 1
	}
	p.slowShare += paceAlpha * (v - p.slowShare)
}

// Mean returns the mean pace; 0 before the first report.
func (p Paces) Mean() float64 { return p.mean }

// Slow reports whether a pace is slow. It is false for any pace while the share
// of slow reports is maxSlowShare or more.
func (p Paces) Slow(pace float64) bool { return pace >= slowPace && p.slowShare < maxSlowShare }
