package discovery

import (
	"testing"
	"time"
)

func entry(id string, born, sequence, revision int64) *Upstream {
	return &Upstream{ID: id, Service: "pistas", Address: "10.0.0.1:80", Slots: 6, Born: born, Sequence: sequence, Revision: revision}
}

func TestLateEntriesOfOlderIncarnations(t *testing.T) {
	r := New()
	if c := r.Put(entry("a", 200, 5, 10)); c != Added {
		t.Fatalf("first entry: %s", c)
	}
	for _, late := range []*Upstream{entry("a", 100, 9, 11), entry("a", 200, 4, 12)} {
		if c := r.Put(late); c != Ignored {
			t.Errorf("entry born %d, sequence %d: %s", late.Born, late.Sequence, c)
		}
	}
	if c := r.Put(entry("a", 300, 0, 13)); c != Added {
		t.Errorf("a new incarnation: %s", c)
	}
}

func TestDrainingTakesNoNewWork(t *testing.T) {
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

// Entries that lapse while the store is away are kept for two seconds after
// its return, and given up where they did not come back; at other times a
// removed upstream is gone at once.
func TestLapsedEntries(t *testing.T) {
	r := New()
	r.Put(entry("back", 1, 1, 1))
	r.Put(entry("dead", 1, 1, 2))
	r.Put(entry("early", 1, 1, 3))
	if c := r.Remove(time.Minute, "early"); c != Gone {
		t.Errorf("removed while the store was there: %s", c)
	}
	at := 2 * time.Minute
	r.StoreReturned(at)
	for _, id := range []string{"back", "dead"} {
		if c := r.Remove(at+100*time.Millisecond, id); c != Lapsed {
			t.Errorf("%s: %s", id, c)
		}
	}
	if n := len(r.Usable()["pistas"]); n != 2 {
		t.Errorf("%d usable while entries may come back", n)
	}
	r.Put(entry("back", 1, 2, 5))
	if gone := r.Expire(at + returnGrace - 1); len(gone) != 0 {
		t.Errorf("gave up %v early", gone)
	}
	if gone := r.Expire(at + returnGrace); len(gone) != 1 || gone[0] != "dead" {
		t.Errorf("gave up %v", gone)
	}
	if c := r.Remove(at+returnGrace, "back"); c != Gone {
		t.Errorf("removed later: %s", c)
	}
}
