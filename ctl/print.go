package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/operator"
)

// print writes v as JSON if -json is set, else calls table.
func (c *command) print(v any, table func()) error {
	if !c.json {
		table()
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.stdout, string(b))
	return err
}

// writeTable aligns the tab-separated lines that lines writes.
func writeTable(w io.Writer, lines func(io.Writer)) {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	lines(tw)
	tw.Flush()
}

func (c *command) printPlan(p *config.Plan) {
	fmt.Fprintf(c.stdout, "plan %s on revision %d: %s\n", p.ID, p.Base, p.Summary)
	if p.Unchanged {
		fmt.Fprintf(c.stdout, "the document equals the configuration in force\n")
	}
	printChanges(c.stdout, p.Changes)
	if len(p.Shifts) > 0 {
		fmt.Fprintln(c.stdout, "\ncapacity:")
		writeTable(c.stdout, func(w io.Writer) {
			fmt.Fprintln(w, "  service\tdata centre\tslots\tshare")
			for _, s := range p.Shifts {
				fmt.Fprintf(w, "  %s\t%s\t%d -> %d\t%.1f%% -> %.1f%%\n", s.Service, s.DataCentre, s.SlotsFrom, s.SlotsTo, 100*s.ShareFrom, 100*s.ShareTo)
			}
		})
	}
	for _, w := range p.Warnings {
		fmt.Fprintf(c.stdout, "\nwarning (%s): %s\n", w.Kind, w.Text)
	}
	fmt.Fprintf(c.stdout, "\nnothing has changed yet; put it in force with: catkinctl confirm %s\n", p.ID)
}

func printChanges(out io.Writer, changes []config.Change) {
	writeTable(out, func(w io.Writer) {
		for _, ch := range changes {
			fmt.Fprintf(w, "  %s\t%s\t%s\t%s\n", ch.Kind, ch.Subject, ch.Service, ch.Name)
			for _, f := range ch.Fields {
				fmt.Fprintf(w, "  \t  %s\t%s ->\t%s\n", f.Field, orNone(f.From), orNone(f.To))
			}
		}
	})
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

func (c *command) printAccepted(a *config.Accepted) {
	fmt.Fprintf(c.stdout, "revision %d by plan %s, digest %.12s: accepted\n", a.Revision, a.PlanID, a.Digest)
	if a.InForce > a.Revision {
		fmt.Fprintf(c.stdout, "revision %d is in force by now\n", a.InForce)
	}
}

func (c *command) printHead(h *config.Head, doc *config.Document) {
	fmt.Fprintf(c.stdout, "revision %d by plan %s, digest %.12s\n", h.Revision, h.PlanID, h.Digest)
	fmt.Fprintf(c.stdout, "site %s, at most %d entries, lookups kept for %v\n\n", doc.Site, doc.MaxEntries, doc.Lookup.Lifetime.D())
	writeTable(c.stdout, func(w io.Writer) {
		fmt.Fprintln(w, "service\tupstream\taddress\tdata centre\tslots\tconnections\tstate")
		for _, s := range doc.Services {
			for _, u := range s.Upstreams {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", s.Name, u.ID, u.Address, u.DataCentre, u.Slots, u.Connections, textIf(u.Leaving, "leaving"))
			}
		}
	})
}

func textIf(b bool, text string) string {
	if b {
		return text
	}
	return ""
}

func (c *command) printCommits(list []config.Commit) {
	writeTable(c.stdout, func(w io.Writer) {
		fmt.Fprintln(w, "revision\tplan\tat\tchanges")
		for _, m := range list {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", m.Revision, m.PlanID, time.UnixMilli(m.At).UTC().Format(time.RFC3339), m.Summary)
		}
	})
}

func (c *command) printComparison(d *config.Comparison) {
	fmt.Fprintf(c.stdout, "from revision %d to %d:\n", d.From, d.To)
	if len(d.Changes) == 0 {
		fmt.Fprintln(c.stdout, "  nothing changes")
	}
	printChanges(c.stdout, d.Changes)
}

// printStale prints the commits and changes that made a plan stale.
func (c *command) printStale(s *config.StaleError) {
	for _, m := range s.Intervening {
		fmt.Fprintf(c.stderr, "  revision %d by plan %s: %s\n", m.Revision, m.PlanID, m.Summary)
	}
	if len(s.Changes) > 0 {
		fmt.Fprintf(c.stderr, "changed since revision %d:\n", s.Base)
		printChanges(c.stderr, s.Changes)
	}
}

func (c *command) printStatus(s *operator.Status) {
	store := "store reached"
	if !s.StoreReached {
		store = fmt.Sprintf("store not reached for %v: keeping the revision held", millis(s.StoreAnswerAgeMillis))
	}
	fmt.Fprintf(c.stdout, "instance %s holds revision %d, digest %.12s; %s\n\n", s.Instance, s.Revision, s.Digest, store)
	writeTable(c.stdout, func(w io.Writer) {
		fmt.Fprintln(w, "instance\tdata centre\tregion\trevision\theard\tstate")
		for _, i := range s.Instances {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v ago\t%s\n", i.ID, i.DataCentre, i.Region, i.Revision, millis(i.HeartbeatAgeMillis), textIf(i.Leaving, "leaving"))
		}
		fmt.Fprintln(w, "\nservice\tupstream\tstate\tin flight")
		for _, u := range s.Upstreams {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", u.Service, u.ID, u.State, u.InFlight)
		}
		fmt.Fprintln(w, "\nservice\tdata centre\twork\tcapacity")
		for _, h := range s.Shares {
			fmt.Fprintf(w, "%s\t%s\t%.1f%%\t%.1f%%\n", h.Service, h.DataCentre, 100*h.Work, 100*h.Capacity)
		}
		fmt.Fprintln(w, "\ncounter\tcount")
		for _, n := range s.Counters {
			fmt.Fprintf(w, "%s\t%d\n", n.Name, n.Count)
		}
	})
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
