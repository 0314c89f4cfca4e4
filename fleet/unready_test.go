package fleet

import (
	"slices"
	"testing"
	"time"
)

// While no instance was ready, no data centre knew one of another for its callers. Leaving
// and silent ones must not be named.
func TestUnreadyInstancesAreKnown(t *testing.T) {
	now := time.Second
	table := tableWith(now, 1)
	table.UpdateMember(now, info(2), State{})
	table.UpdateMember(now, info(3), State{Leaving: true})
	table.MergeMembers(now, []Member{{Info: info(4), Silent: true}}, "ibarra")
	table.Tick(now)
	want := []Instance{{info(1).DataAddress, "ibarra"}, {info(2).DataAddress, "ibarra"}}
	if v := table.View(); len(v.Usable) != 0 || !slices.Equal(v.Unready, want) {
		t.Errorf("view %+v, want unready %v", v, want)
	}
	other := NewTable(infoIn("otavalo", 9, 0), nil)
	other.MergeSummaries(now, "", table.summariesSince(0))
	if v := other.View(); len(v.Unready) != 3 {
		t.Errorf("another data centre's view %+v, want its own instance and %v", v, want)
	}
	table.UpdateMember(now, info(2), State{Ready: true, Count: 1})
	table.Tick(now)
	if s := table.summaries["ibarra"]; len(s.Usable) != 1 || len(s.Unready) != 0 {
		t.Errorf("summary %+v of a data centre with a ready instance", s)
	}
}
