package discovery

import (
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/store"
)

func entry(id string, start, sequence int64, revision store.Revision) *Upstream {
	return &Upstream{ID: id, Service: "pistas", Address: "10.0.0.1:80", Slots: 6, StartUnixMilli: start, Sequence: sequence, Revision: revision}
}

func TestPutIgnoresOutdatedEntries(t *testing.T) {
	r := New()
	if c := r.Put(entry("a", 200, 5, 10)); c != Added {
		t.Fatalf("first entry: %s", c)
	}
	for _, late := range []*Upstream{entry("a", 100, 9, 11), entry("a", 200, 4, 12)} {
		if c := r.Put(late); c != Ignored {
			t.Errorf("entry with start time %d, sequence %d: %s", late.StartUnixMilli, late.Sequence, c)
		}
	}
	if c := r.Put(entry("a", 300, 0, 13)); c != Added {
		t.Errorf("a new incarnation: %s", c)
	}
}

func TestDrainingUpstreamNotUsable(t *testing.T) {
	r := New()
	r.Put(entry("a", 1, 1, 1))
	u := entry("a", 1, 2, 2)
	u.Draining = true
	if c := r.Put(u); c != Draining {
		t.Errorf("got %s", c)
	}
	if n := len(r.Usable()["pistas"]); n != 0 {
		t.Errorf("%d usable", n)
	}
}

// Upstreams with entries that expired in a store outage must stay usable for two
// seconds after it, so that an outage does not empty a service, and be removed if
// they have not registered again by then. Without an outage, a removed upstream
// must be gone at once.
func TestEntriesExpiredInStoreOutage(t *testing.T) {
	r := New()
	r.Put(entry("back", 1, 1, 1))
	r.Put(entry("dead", 1, 1, 2))
	r.Put(entry("early", 1, 1, 3))
	if c := r.Remove(time.Minute, "early"); c != Gone {
		t.Errorf("removed without an outage: %s", c)
	}
	recovered := 2 * time.Minute
	r.StoreRecovered(recovered)
	for _, id := range []string{"back", "dead"} {
		if c := r.Remove(recovered+100*time.Millisecond, id); c != Lapsed {
			t.Errorf("%s: %s", id, c)
		}
	}
	if n := len(r.Usable()["pistas"]); n != 2 {
		t.Errorf("%d usable during the grace period", n)
	}
	r.Put(entry("back", 1, 2, 5))
	if gone := r.Expire(recovered + recoveryGrace - 1); len(gone) != 0 {
		t.Errorf("removed %v early", gone)
	}
	if gone := r.Expire(recovered + recoveryGrace); len(gone) != 1 || gone[0] != "dead" {
		t.Errorf("removed %v", gone)
	}
	if c := r.Remove(recovered+recoveryGrace, "back"); c != Gone {
		t.Errorf("removed later: %s", c)
	}
}

// An upstream that had left was used again, since the store came back from a copy
// that still had its entry.
func TestDepartedUpstreamIsNotUsedAgain(t *testing.T) {
	before, after := store.NewRevision(1, 40), store.NewRevision(2, 12)
	for _, c := range []struct {
		what string
		back *Upstream
		want Change
	}{
		{"the same entry", entry("a", 100, 5, after), Ignored},
		{"an earlier entry", entry("a", 100, 3, after), Ignored},
		{"an earlier incarnation", entry("a", 50, 9, after), Ignored},
		{"a later entry: it lives", entry("a", 100, 6, after), Added},
		{"a later incarnation", entry("a", 200, 1, after), Added},
		{"the same entry in the same epoch: it lives", entry("a", 100, 5, before+3), Added},
	} {
		r := New()
		r.Put(entry("a", 100, 5, before))
		if got := r.Remove(time.Second, "a"); got != Gone {
			t.Fatalf("removal: %s", got)
		}
		if got := r.Put(c.back); got != c.want {
			t.Errorf("%s: %s, want %s", c.what, got, c.want)
		}
	}
	r := New()
	r.Put(entry("a", 100, 5, before))
	r.Remove(time.Second, "a")
	r.Expire(time.Second + departedMemory)
	if len(r.departed) > 0 {
		t.Error("departed upstreams are remembered for good")
	}
}

// A draining upstream got requests again after the store came back from a copy in
// which it was ready.
func TestDrainingSurvivesAnOlderCopy(t *testing.T) {
	r := New()
	u := entry("a", 100, 7, store.NewRevision(1, 40))
	u.Draining = true
	r.Put(u)
	if got := r.Put(entry("a", 100, 5, store.NewRevision(2, 12))); got != Ignored || len(r.Usable()) > 0 {
		t.Errorf("%s, usable %v", got, r.Usable())
	}
}
