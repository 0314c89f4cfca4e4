package mirror

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/internal/fixedseed"

	"github.com/catkinrouter/catkinrouter/store"
)

func TestMain(m *testing.M) { fixedseed.MainWithSize(m, fixedseed.Size{Checks: 300, Steps: 60}) }

// sourceStore is a model of the replicated store.
type sourceStore struct {
	revision store.Revision
	log      []Item // every change, in order
	live     map[string]Item
}

func (o *sourceStore) change(key string, deleted bool) {
	if _, ok := o.live[key]; deleted && !ok {
		return
	}
	o.revision++
	it := Item{Key: key, Value: []byte(fmt.Sprint(o.revision)), Revision: o.revision, Deleted: deleted}
	if deleted {
		it.Value = nil
		delete(o.live, key)
	} else {
		o.live[key] = it
	}
	o.log = append(o.log, it)
}

// all returns a full read, since the changes after a revision.
func (o *sourceStore) all() Delta {
	d := Delta{Full: true, Revision: o.revision}
	for _, it := range o.live {
		d.Items = append(d.Items, it)
	}
	return d
}

func (o *sourceStore) since(rev store.Revision) Delta {
	d := Delta{Base: rev, Revision: o.revision}
	for _, it := range o.log {
		if it.Revision > rev {
			d.Items = append(d.Items, it)
		}
	}
	return d
}

func live(m *Mirror) map[string]Item {
	out := map[string]Item{}
	for k, it := range m.items {
		if !it.Deleted {
			out[k] = it
		}
	}
	return out
}

// Mirrors that apply deltas of the store and of each other, delayed, duplicated
// or out of order, must never return to an older revision of a key or undo a
// deletion, and must equal the store once they are up to date.
func TestRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &sourceStore{live: map[string]Item{}}
		mirrors := []*Mirror{New(), New(), New()}
		seen := make([]map[string]store.Revision, len(mirrors))
		for i := range seen {
			seen[i] = map[string]store.Revision{}
		}
		var late []Delta
		which := rapid.IntRange(0, len(mirrors)-1)
		apply := func(i int, d Delta) {
			before := mirrors[i].Revision()
			changed, ok := mirrors[i].Apply(d)
			if !ok && (d.Full || d.Base <= before) {
				t.Fatalf("delta %d to %d refused at %d", d.Base, d.Revision, before)
			}
			if mirrors[i].Revision() < before {
				t.Fatalf("revision went from %d to %d", before, mirrors[i].Revision())
			}
			for _, it := range changed {
				if it.Revision < seen[i][it.Key] {
					t.Fatalf("key %s went from revision %d to %d", it.Key, seen[i][it.Key], it.Revision)
				}
				seen[i][it.Key] = it.Revision
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { o.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), false) },
			"delete": func(t *rapid.T) { o.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), true) },
			"read":   func(t *rapid.T) { apply(which.Draw(t, "mirror"), o.all()) },
			"watch": func(t *rapid.T) {
				i := which.Draw(t, "mirror")
				apply(i, o.since(mirrors[i].Revision()))
			},
			"peer": func(t *rapid.T) {
				from, to := which.Draw(t, "from"), which.Draw(t, "to")
				apply(to, mirrors[from].Since(mirrors[to].Revision()))
			},
			"hold a message": func(t *rapid.T) {
				from := which.Draw(t, "from")
				late = append(late, mirrors[from].Since(store.Revision(rapid.Int64Range(0, int64(o.revision)).Draw(t, "after"))), o.all())
			},
			"deliver late": func(t *rapid.T) {
				if len(late) == 0 {
					return
				}
				d := late[rapid.IntRange(0, len(late)-1).Draw(t, "message")]
				i := which.Draw(t, "mirror")
				if d.Full || d.Base <= mirrors[i].Revision() {
					apply(i, d)
				}
			},
			"forget": func(t *rapid.T) {
				m := mirrors[which.Draw(t, "mirror")]
				m.tombstones = maxTombstones + 1
				m.dropTombstones()
			},
		})
		for i := range mirrors {
			apply(i, o.since(mirrors[i].Revision()))
			if diff := cmp.Diff(o.live, live(mirrors[i])); diff != "" {
				t.Fatalf("mirror %d differs from the store:\n%s", i, diff)
			}
		}
	})
}

func TestDeltaWithGapIsRefused(t *testing.T) {
	m := New()
	if _, ok := m.Apply(Delta{Base: 4, Revision: 6, Items: []Item{{Key: "a", Revision: 6}}}); ok {
		t.Fatal("a delta with base 4 was applied at revision 0")
	}
}
