package agent

import (
	"errors"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
)

// restores returns the heads that actions write back to the store.
func restores(actions []Action) (out []RestoreHead) {
	for _, a := range actions {
		if r, ok := a.(RestoreHead); ok {
			out = append(out, r)
		}
	}
	return out
}

// A configuration that had been accepted was lost when the store came back from an
// older copy, and the next plan, confirmed on the older one, was refused.
func TestLostConfigurationIsWrittenBack(t *testing.T) {
	first, second, fork := config.NewHead(1, []byte(`{}`)), config.NewHead(2, []byte(`{} `)), config.NewHead(1, []byte(` {}`))
	second.Recent = []config.Commit{{Revision: 1, PlanID: first.PlanID}, {Revision: 2, PlanID: second.PlanID}}
	n := NewNode(Options{ID: "a"})
	if got := restores(n.StoreReadDone(time.Second, time.Second, second, 7, nil)); len(got) > 0 {
		t.Fatalf("the store's own head: %v", got)
	}
	for _, c := range []struct {
		what   string
		stored config.Head
		err    error
		want   int
	}{
		{"an older head", first, nil, 1},
		{"no head", config.Head{}, nil, 1},
		{"the same head", second, nil, 0},
		{"another head of that revision", fork, nil, 0},
		{"a failed read", config.Head{}, errors.New("store is away"), 0},
	} {
		got := restores(n.StoreReadDone(2*time.Second, 2*time.Second, c.stored, 3, c.err))
		if len(got) != c.want || c.want > 0 && (got[0].Expect != 3 || got[0].Head.Revision != 2) {
			t.Errorf("read of %s: %+v", c.what, got)
		}
		got = restores(n.StoreWatchDone(2*time.Second, c.stored, 4, true, c.err))
		if len(got) != c.want || c.want > 0 && got[0].Expect != 4 {
			t.Errorf("watch that finds %s: %+v", c.what, got)
		}
	}
	if n.Head().Revision != 2 {
		t.Errorf("revision %d in force, want 2", n.Head().Revision)
	}
}
