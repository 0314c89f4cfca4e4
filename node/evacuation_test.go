package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/standin"
)

// newSiteInTwoDataCentres returns three nodes in otavalo with an upstream there and one
// in cuenca.
func newSiteInTwoDataCentres(t *testing.T) (s *site, near, far *backend) {
	t.Helper()
	s = newSite(t, 3)
	near, far = newBackend(t, "i-near"), newBackend(t, "i-far")
	near.register(s.kv, "tienda", "ready", 1)
	s.kv.Put("servers/i-far", fmt.Appendf(nil, `{"service":"tienda","address":%q,"zone":"cuenca","slots":6,"state":"ready","sequence":1}`, far.addr))
	configure(s.kv, 1, "/x/", "tienda")
	s.waitAll("/x/1", 200, "i-near")
	return s, near, far
}

// Upstreams got requests in spite of an evacuation, also from an instance that started
// during it, or none after it. The key's value does not matter.
func TestEvacuationFollowsItsKey(t *testing.T) {
	s, near, _ := newSiteInTwoDataCentres(t)
	s.kv.Put("op/evacuate/otavalo", []byte(`{"not JSON`))
	s.waitAllWithin(maxChangeDelay, "/x/1", 200, "i-far")
	s.list[2].end(t)
	s.list[2] = s.start(2)
	s.waitAll("/x/1", 200, "i-far")
	before := near.requestCount()
	s.checkFor(300*time.Millisecond, "/x/1", 200, "i-far")
	if n := near.requestCount(); n > before {
		t.Errorf("%d requests during the evacuation", n-before)
	}
	s.kv.Put("op/evacuate/cuenca", nil)
	s.waitAllWithin(maxChangeDelay, "/x/1", 503, "data-centre-evacuated\n")
	s.kv.Delete("op/evacuate/cuenca")
	s.waitAll("/x/1", 200, "i-far")
	s.kv.Delete("op/evacuate/otavalo")
	for _, r := range s.list {
		r.waitUntil(t, func() bool { _, body := r.call("/x/1"); return body == "i-near" })
	}
}

// A key that names no data centre changed something.
func TestEvacuationOfUnknownDataCentre(t *testing.T) {
	s, _, _ := newSiteInTwoDataCentres(t)
	s.kv.Put("op/evacuate/", []byte("1"))
	s.kv.Put("op/evacuate/nowhere", []byte("1"))
	s.kv.Put("op/evacuate/cuenca", []byte("1")) // who knows of it knows the others
	s.waitAll("/x/1", 200, "i-near")
	s.checkFor(300*time.Millisecond, "/x/1", 200, "i-near")
}

// An evacuation of which the store's older copy knows nothing stayed, or one that the copy
// has did not come back.
func TestEvacuationWhenStoreRestored(t *testing.T) {
	for _, inCopy := range []bool{false, true} {
		s, near, far := newSiteInTwoDataCentres(t)
		if inCopy {
			s.kv.Put("op/evacuate/otavalo", []byte("1"))
			s.waitAll("/x/1", 200, "i-far")
		}
		b := s.kv.Backup()
		if inCopy {
			s.kv.Delete("op/evacuate/otavalo")
		} else {
			s.kv.Put("op/evacuate/otavalo", []byte("1"))
			s.waitAll("/x/1", 200, "i-far")
		}
		s.restoreWith(b, near, far)
		want := map[bool]string{false: "i-near", true: "i-far"}[inCopy]
		s.waitAllWithin(2*maxChangeDelay, "/x/1", 200, want)
		if inCopy {
			s.checkFor(300*time.Millisecond, "/x/1", 200, want)
		}
	}
}

// restoreWith brings the store back from a copy, and the upstreams register anew.
func (s *site) restoreWith(b standin.Backup, near, far *backend) {
	s.restore(b)
	near.register(s.kv, "tienda", "ready", 5)
	s.kv.Put("servers/i-far", fmt.Appendf(nil, `{"service":"tienda","address":%q,"zone":"cuenca","slots":6,"state":"ready","sequence":5}`, far.addr))
}
