package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const microsPerMilli = 1000

// ms converts microseconds to milliseconds.
func ms(us int64) float64 { return float64(us) / microsPerMilli }

// WriteTable writes the result as text tables.
func (res *Result) WriteTable(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "calls of\tcalls\tanswered\tnot run\tunknown\tfailed\twrong\tp50 ms\tp99 ms\tp99.9 ms\tstart noise p99 ms\t")
	for _, r := range res.Rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", r.Name, r.Calls, r.Answered, r.NotRun, r.Unknown,
			r.Failed, r.Wrong, ms(r.P50), ms(r.P99), ms(r.P999), ms(r.Noise99))
	}
	t.Flush()
	for _, r := range res.Rows {
		for _, reason := range r.Reasons {
			fmt.Fprintf(w, "%s not answered: %s %d\n", r.Name, reason.Name, reason.Count)
		}
	}
	for _, e := range res.Entries {
		fmt.Fprintln(w, e)
	}
	res.writeShares(w)
}

// writeShares writes the share of each data centre, the share of probes and the
// ledger check. It writes nothing for a run without shares.
func (res *Result) writeShares(w io.Writer) {
	if len(res.Shares) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tdata centre\tshare of work\tshare of capacity\t")
	for _, s := range res.Shares {
		fmt.Fprintf(t, "%s\t%s\t%.1f%%\t%.1f%%\t\n", s.Service, s.DataCentre, 100*s.Work, 100*s.Capacity)
	}
	t.Flush()
	fmt.Fprintf(w, "measuring took at most %.3f%% of an upstream's slot time\n", 100*res.ProbeShare)
	l := res.Ledger
	if l.Keys > 0 {
		fmt.Fprintf(w, "keyed calls %d: ran twice %d, told not run but ran %d, answered but never ran %d\n", l.Keys, l.RanTwice, l.NotRunButRan, l.AnsweredNeverRan)
	}
}

// Violation describes a guarantee that the run violated; empty for none.
func (res *Result) Violation() string {
	for _, r := range res.Rows {
		if r.Wrong > 0 {
			return fmt.Sprintf("%d calls of %s got a response without their request ID", r.Wrong, r.Name)
		}
	}
	if l := res.Ledger; l.RanTwice+l.NotRunButRan+l.AnsweredNeverRan > 0 {
		return fmt.Sprintf("outcomes of keyed calls contradict the upstreams' ledgers: %+v", l)
	}
	return ""
}

// String writes the cost as one line of text.
func (e EntryCost) String() string {
	return fmt.Sprintf("entry %s: %.1f%% of a core, %.0f us of it a call, %.1f MB resident; held calls p50 %.0f us, p99 %.0f us",
		e.Address, 100*e.Cores, e.MicrosPerCall, e.ResidentMB, e.EntryTime50, e.EntryTime99)
}
