// Command drawday prints a day for the users' bench, drawn at random from all
// kinds of trouble that it lists: several at once, at any moment, each possibly more
// than once, beside planned work. The same seed prints the same day.
//
//	go run ./deploy/drawday -seed 7 -with poison >day.toml
package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"os"
	"strings"
)

func main() {
	seed := flag.Uint64("seed", 1, "the seed of the day")
	with := flag.String("with", "", "kinds that the day must have, separated by commas")
	faults := flag.Int("faults", 6, "the number of faults beside those")
	plans := flag.Int("plans", 4, "the number of pieces of planned work")
	flag.Parse()
	if err := run(os.Stdout, *seed, *with, *faults, *plans); err != nil {
		log.Fatalf("drawday: %v", err)
	}
}

func run(w io.Writer, seed uint64, with string, faults, plans int) error {
	d := drawer{rng: rand.New(rand.NewPCG(seed, 1))}
	var lines []string
	for _, kind := range strings.FieldsFunc(with, func(r rune) bool { return r == ',' }) {
		drawn, err := d.drawKind(kind)
		if err != nil {
			return err
		}
		lines = append(lines, drawn)
	}
	for range faults {
		lines = append(lines, d.draw(faultKinds[d.rng.IntN(len(faultKinds))]))
	}
	var planned []string
	for range plans {
		planned = append(planned, d.draw(planKinds[d.rng.IntN(len(planKinds))]))
	}
	_, err := fmt.Fprintf(w, "name = \"drawn-%d\"\nslot = \"trouble\"\nplan = [\n%s]\nfaults = [\n%s]\n%s",
		seed, strings.Join(planned, ""), strings.Join(lines, ""), d.closing())
	return err
}

// span is a range from which a figure is drawn; the field is left out if it is
// empty.
type span struct{ low, high float64 }

// trouble is a kind of trouble with the ranges of its figures.
type trouble struct {
	kind                 string
	share, x, forS, gapS span
	count                int      // drawn from 1 to count, instead of a share
	hows                 []string // of which one is drawn
	on                   string
	// class and zone are set if the trouble names a kind of request or a data centre.
	class, zone bool
}

// drawer draws troubles.
type drawer struct{ rng *rand.Rand }

// lastStart is the latest start of a trouble, in seconds from the start of traffic.
const lastStart = 29.0

func (d *drawer) in(s span) float64 { return s.low + d.rng.Float64()*(s.high-s.low) }

// drawKind draws one of the faults of a kind.
func (d *drawer) drawKind(kind string) (string, error) {
	var of []trouble
	for _, t := range faultKinds {
		if t.kind == kind {
			of = append(of, t)
		}
	}
	if len(of) == 0 {
		return "", fmt.Errorf("no fault of kind %q: see the kinds that the bench lists", kind)
	}
	return d.draw(of[d.rng.IntN(len(of))]), nil
}

// draw returns a line for t with figures from its ranges.
func (d *drawer) draw(t trouble) string {
	fields := []string{fmt.Sprintf("at = %.2f", d.in(span{0.3, lastStart})), fmt.Sprintf("kind = %q", t.kind)}
	for _, f := range []struct {
		name string
		span
	}{{"share", t.share}, {"x", t.x}, {"for_s", t.forS}, {"gap_s", t.gapS}} {
		if f.high > 0 {
			fields = append(fields, fmt.Sprintf("%s = %.3f", f.name, d.in(f.span)))
		}
	}
	if t.count > 0 {
		fields = append(fields, fmt.Sprintf("count = %d", 1+d.rng.IntN(t.count)))
	}
	if len(t.hows) > 0 {
		fields = append(fields, fmt.Sprintf("how = %q", t.hows[d.rng.IntN(len(t.hows))]))
	}
	if t.on != "" {
		fields = append(fields, fmt.Sprintf("on = %q", t.on))
	}
	if t.class {
		fields = append(fields, fmt.Sprintf("class = \"@c%d\"", d.rng.IntN(classes)))
	}
	if t.zone {
		fields = append(fields, `zone = "@z0"`)
	}
	return "  { " + strings.Join(fields, ", ") + " },\n"
}

// classes is the number of kinds of request that each deployment has at least.
const classes = 3

// closing returns the end of the day: none, or a fault of all machines.
func (d *drawer) closing() string {
	kinds := []string{"", "", "power_off_all", "kill_all", "wipe_after_ack"}
	kind := kinds[d.rng.IntN(len(kinds))]
	if kind == "" {
		return ""
	}
	hows := []string{"", "timed", "taken"}
	return fmt.Sprintf("closing = { kind = %q, down_s = %.2f, how = %q }\n", kind, d.in(span{0.3, 2}), hows[d.rng.IntN(len(hows))])
}
