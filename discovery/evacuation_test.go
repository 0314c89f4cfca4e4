package discovery

import "testing"

// Upstreams of an evacuated data centre got requests, or those that registered during the
// evacuation did, or none did after it.
func TestEvacuatedUpstreamsAreNotUsable(t *testing.T) {
	r := New()
	in := func(id, dc string) *Upstream {
		u := entry(id, 1, 1, 1)
		u.DataCentre = dc
		return u
	}
	r.Put(in("a", "otavalo"))
	r.Put(in("b", "cuenca"))
	if !r.SetEvacuated("otavalo", true) || r.SetEvacuated("otavalo", true) {
		t.Error("a change is not reported, or reported twice")
	}
	r.Put(in("late", "otavalo"))
	if l := r.Usable()["pistas"]; len(l) != 1 || l[0].ID != "b" {
		t.Errorf("usable during the evacuation: %v", l)
	}
	if e := r.Evacuations(); len(e) != 1 || e[0].DataCentre != "otavalo" || len(e[0].Upstreams) != 2 {
		t.Errorf("evacuations: %+v", e)
	}
	r.SetEvacuated("otavalo", false)
	if l := r.Usable()["pistas"]; len(l) != 3 || len(r.Evacuations()) > 0 {
		t.Errorf("after the evacuation: %v, %+v", l, r.Evacuations())
	}
}
