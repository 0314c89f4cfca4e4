package store

import "testing"

func TestRevisionOrder(t *testing.T) {
	list := []Revision{0, NewRevision(0, 1), NewRevision(0, 1<<39), NewRevision(1, 1), NewRevision(2, 1), NewRevision(2, 43)}
	for i, r := range list {
		if i > 0 && list[i-1] >= r {
			t.Errorf("%v is not below %v", list[i-1], r)
		}
		if NewRevision(r.Epoch(), r.Count()) != r {
			t.Errorf("%v does not hold its parts", r)
		}
	}
	for want, r := range map[string]Revision{"7": NewRevision(0, 7), "2/43": NewRevision(2, 43)} {
		if r.String() != want {
			t.Errorf("%q, want %q", r, want)
		}
	}
}
