package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Comparison is the result of compare: the summary and the result of every run,
// in the order in which they ran.
type Comparison struct {
	// Base is the name of the first variant, which ratios and differences refer
	// to.
	Base  string   `json:"base"`
	Cells []Cell   `json:"cells"`
	Turns []Result `json:"turns"`
}

// Cell summarizes one mix under one variant over all turns. Ratio is the median
// of the ratios of p99 to that of the base variant in the same turn; RatioMin and
// RatioMax are their least and greatest.
type Cell struct {
	Mix      string  `json:"mix"`
	Variant  string  `json:"variant"`
	Answered float64 `json:"answered"` // share of calls
	P50      int64   `json:"p50_us"`   // medians over turns
	P99      int64   `json:"p99_us"`
	P999     int64   `json:"p999_us"`
	Noise99  int64   `json:"noise_p99_us"`
	// Added50 and Added99 are the differences of P50 and P99 to those of the
	// base variant, in microseconds.
	Added50  int64   `json:"added_p50_us"`
	Added99  int64   `json:"added_p99_us"`
	Ratio    float64 `json:"ratio"`
	RatioMin float64 `json:"ratio_min"`
	RatioMax float64 `json:"ratio_max"`
	// Tries is the mean number of tries per call.
	Tries float64 `json:"tries"`
}

// applyWait is the time in which a confirmed plan comes into force on all
// instances.
const applyWait = 3 * time.Second

// Compare runs each variant once per turn. The order of the variants rotates from
// turn to turn.
func (r *Runner) Compare() (*Comparison, error) {
	vs := r.scenario.Variants
	if len(vs) < 2 {
		return nil, fmt.Errorf("compare needs two variants or more: add them to \"variants\"")
	}
	cmp := &Comparison{Base: vs[0].Name}
	runs := map[string][]*Result{}
	for turn := range r.scenario.Turns {
		for i := range vs {
			v := vs[(i+turn)%len(vs)]
			res, err := r.turn(v)
			if err != nil {
				return nil, err
			}
			runs[v.Name] = append(runs[v.Name], res)
			cmp.Turns = append(cmp.Turns, *res)
			if r.Progress != nil {
				fmt.Fprintf(r.Progress, "turn %d of %d: %s done\n", turn+1, r.scenario.Turns, v.Name)
			}
		}
	}
	for i, m := range r.scenario.Calls {
		for _, v := range vs {
			if !v.omits(m.Name) {
				cmp.Cells = append(cmp.Cells, newCell(m.Name, v.Name, i, runs[v.Name], runs[cmp.Base]))
			}
		}
	}
	return cmp, nil
}

// turn applies the rules of v, if it has any, and runs the load.
func (r *Runner) turn(v Variant) (*Result, error) {
	if v.changesRules() {
		if r.scenario.Operator == "" {
			return nil, fmt.Errorf("variant %s changes rules: set \"operator\" to an agent's operator address", v.Name)
		}
		if err := applyVariant(r.scenario.Operator, v); err != nil {
			return nil, err
		}
		time.Sleep(applyWait)
	}
	return r.Run(v)
}

// newCell summarizes row i of the runs of one variant, compared with the runs of
// the base variant.
func newCell(mix, variant string, i int, runs, base []*Result) Cell {
	c := Cell{Mix: mix, Variant: variant}
	var p50, p99, p999, noise []int64
	var ratios []float64
	var calls, answered, tries int
	var base50, base99 []int64
	for t, res := range runs {
		row := res.Rows[i]
		base50, base99 = append(base50, base[t].Rows[i].P50), append(base99, base[t].Rows[i].P99)
		p50, p99, p999 = append(p50, row.P50), append(p99, row.P99), append(p999, row.P999)
		noise = append(noise, row.Noise99)
		calls += row.Calls
		answered += row.Answered
		tries += row.Tries
		if b := base[t].Rows[i].P99; b > 0 {
			ratios = append(ratios, float64(row.P99)/float64(b))
		}
	}
	c.P50, c.P99, c.P999, c.Noise99 = median(p50), median(p99), median(p999), median(noise)
	c.Added50, c.Added99 = c.P50-median(base50), c.P99-median(base99)
	c.Answered = float64(answered) / float64(max(1, calls))
	c.Tries = float64(tries) / float64(max(1, calls))
	if len(ratios) > 0 {
		c.Ratio, c.RatioMin, c.RatioMax = median(ratios), slices.Min(ratios), slices.Max(ratios)
	}
	return c
}

func median[T int64 | float64](v []T) T {
	s := slices.Sorted(slices.Values(v))
	return s[len(s)/2]
}

// WriteTable writes the comparison as a text table.
func (c *Comparison) WriteTable(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "calls of\tvariant\tanswered\tp50 ms\tp99 ms\tp99.9 ms\tp99 to %s\tspread\tadded p50\tadded p99\tstart noise p99 ms\t\n", c.Base)
	for _, x := range c.Cells {
		fmt.Fprintf(t, "%s\t%s\t%.2f%%\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f-%.2f\t%+.2f\t%+.2f\t%.2f\t\n", x.Mix, x.Variant, 100*x.Answered,
			ms(x.P50), ms(x.P99), ms(x.P999), x.Ratio, x.RatioMin, x.RatioMax, ms(x.Added50), ms(x.Added99), ms(x.Noise99))
	}
	t.Flush()
	for i := range c.Turns {
		for _, e := range c.Turns[i].Entries {
			fmt.Fprintf(w, "%s: %s\n", c.Turns[i].Variant, e)
		}
	}
}
