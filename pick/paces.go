package pick

// Weights of the paces of a service.
const (
	// paceStep is the weight of one report.
	paceStep = 0.02
	// slowPace is the pace from which an upstream counts as slow at this
	// moment.
	slowPace = 2.0
	// mostSlow is the share of slow reports from which slowness is usual,
	// and nothing to wait out.
	mostSlow = 0.7
)

// Paces follows how long work takes at a service's upstreams. The zero value
// has no reports.
type Paces struct {
	mean float64
	// slow is the share of reports that were slow.
	slow float64
}

// Add takes a report's pace.
func (p *Paces) Add(pace float64) {
	if p.mean == 0 {
		p.mean = pace
	}
	p.mean += paceStep * (pace - p.mean)
	v := 0.0
	if pace >= slowPace {
		v = 1
	}
	p.slow += paceStep * (v - p.slow)
}

// Mean is the mean pace, 0 before any report.
func (p Paces) Mean() float64 { return p.mean }

// Slow tells whether a pace is well above what most upstreams have.
func (p Paces) Slow(pace float64) bool { return pace >= slowPace && p.slow < mostSlow }
