package quota

import (
	"math"
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/internal/rendezvous"
)

// Fleet is an instance's view of the fleet.
type Fleet struct {
	// Self is the address of this instance.
	Self       string
	DataCentre string
	// Usable holds the addresses of the instances of this data centre that take
	// requests.
	Usable []string
	// Live is the number of live instances of each data centre.
	Live map[string]int
}

// Division divides limits among the instances of one view of the fleet. It is
// immutable.
type Division struct {
	fleet Fleet
	// dataCentres holds the names in Fleet.Live, sorted.
	dataCentres []string
	instances   int
}

func newDivision(f Fleet) *Division {
	d := &Division{fleet: f}
	for dc, n := range f.Live {
		d.dataCentres = append(d.dataCentres, dc)
		d.instances += n
	}
	slices.Sort(d.dataCentres)
	return d
}

// share is this instance's part of a limit.
type share struct {
	held     bool
	interval time.Duration
	// phase is the part of an interval, 0 to 1, after which a new holder first
	// sends, so that holders do not start together.
	phase float64
}

// share returns this instance's part of the upstream's limit.
func (d *Division) share(upstream string, l Limit) share {
	if l.PerSecond <= 0 {
		return share{}
	}
	holders := l.holders(d.instances)
	local := d.localHolders(upstream, holders)
	if !slices.Contains(d.fleet.Usable, d.fleet.Self) || rendezvous.Rank(d.fleet.Self, d.fleet.Usable, upstream, local) >= local {
		return share{}
	}
	return share{held: true, interval: l.interval(holders), phase: fraction(rendezvous.Hash(upstream, d.fleet.Self))}
}

// localHolders returns how many of the holders are in this data centre: each
// data centre's part is in proportion to its live instances, rounded up or down
// such that the parts add up.
func (d *Division) localHolders(upstream string, holders int) int {
	sum, offset := 0.0, fraction(rendezvous.Hash(upstream, ""))
	for _, dc := range d.dataCentres {
		before := math.Floor(sum + offset)
		sum += float64(holders) * float64(d.fleet.Live[dc]) / float64(max(1, d.instances))
		if dc == d.fleet.DataCentre {
			return int(math.Floor(sum+offset) - before)
		}
	}
	return 0
}

// fraction maps a hash to 0 to 1.
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
