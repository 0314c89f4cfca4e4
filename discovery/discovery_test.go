package discovery

import (
	"testing"
	"time"
)

func entry(id string, start, sequence, revision int64) *Upstream {
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
