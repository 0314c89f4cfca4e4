package customer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// newTestSet returns a set of customers with the keys given by name.
func newTestSet(t testing.TB, keys map[string][]string) *Set {
	t.Helper()
	s := NewSet()
	for name, list := range keys {
		if !s.Add(Customer{Name: name}) {
			t.Fatalf("customer %q not added", name)
		}
		for _, key := range list {
			if _, ok := s.AddKey(name, key); !ok {
				t.Fatalf("key %q not added", key)
			}
		}
	}
	return s
}

// A key must lead to its holder only, and nothing but a whole key to anyone.
func TestLookup(t *testing.T) {
	longest := strings.Repeat("k", MaxKeyBytes)
	s := newTestSet(t, map[string][]string{"a": {"a1", "a2", "a1"}, "b": {longest}, "none": nil})
	for key, want := range map[string]string{
		"a1": "a", "a2": "a", longest: "b", "": "", "a": "", "a1 ": "", "A1": "", "a1\x00": "",
		longest + "k": "", longest[1:]: "",
	} {
		got := ""
		if c := s.Lookup([]byte(key)); c != nil {
			got = c.Name
		}
		if got != want {
			t.Errorf("key %q belongs to %q, want %q", key, got, want)
		}
	}
	if c := s.ByName("none"); c == nil || c.Name != "none" || s.ByName("c") != nil || s.Len() != 3 {
		t.Errorf("customers by name: %v of %d", c, s.Len())
	}
}

// A key that several customers hold could admit one as another.
func TestSharedKeyBelongsToNone(t *testing.T) {
	s := newTestSet(t, map[string][]string{"a": {"both", "own"}})
	for _, name := range []string{"b", "c"} {
		s.Add(Customer{Name: name})
		if other, ok := s.AddKey(name, "both"); other != "a" || !ok {
			t.Errorf("key of %s: other holder %q, added %v", name, other, ok)
		}
	}
	if c := s.Lookup([]byte("both")); c != nil {
		t.Errorf("the shared key belongs to %s", c.Name)
	}
	if c := s.Lookup([]byte("own")); c == nil || c.Name != "a" {
		t.Errorf("the other key belongs to %v", c)
	}
}

// Keys that no request can carry, and a second customer of a name, must not be taken.
func TestRefusedKeysAndCustomers(t *testing.T) {
	s := newTestSet(t, map[string][]string{"a": {"a1"}})
	for _, key := range []string{"", strings.Repeat("k", MaxKeyBytes+1)} {
		if _, ok := s.AddKey("a", key); ok {
			t.Errorf("key of %d bytes added", len(key))
		}
	}
	if s.Add(Customer{Name: "a", Priority: 7}) || s.ByName("a").Priority != 0 {
		t.Error("a second customer of the name replaced the first")
	}
}

// Lookups are made for every request, also for those with a wrong key.
func TestLookupDoesNotAllocate(t *testing.T) {
	s := newTestSet(t, map[string][]string{"a": {"a1", "shared"}, "b": {"shared"}})
	for _, key := range []string{"a1", "shared", "unknown", "", strings.Repeat("k", MaxKeyBytes), strings.Repeat("k", MaxKeyBytes+1)} {
		p := []byte(key)
		if n := testing.AllocsPerRun(100, func() { s.Lookup(p) }); n > 0 {
			t.Errorf("%v allocations for a key of %d bytes", n, len(key))
		}
	}
}

// A customer's priority takes precedence over the route's, also the most urgent one.
func TestPriorityOr(t *testing.T) {
	for _, c := range []struct {
		customer *Customer
		want     int
	}{{nil, 5}, {&Customer{}, 5}, {&Customer{Priority: 7, HasPriority: true}, 7}, {&Customer{HasPriority: true}, 0}} {
		if got := c.customer.PriorityOr(5); got != c.want {
			t.Errorf("customer %+v: priority %d, want %d", c.customer, got, c.want)
		}
	}
}

// A set of the largest configuration must be built in a fraction of the time of its decoding.
func TestLargeSet(t *testing.T) {
	const customers, limit = 10_000, 5 * time.Second
	began := time.Now()
	s := NewSet()
	for i := range customers {
		name := fmt.Sprint("c", i)
		s.Add(Customer{Name: name})
		s.AddKey(name, name+"-first")
		s.AddKey(name, name+"-second")
	}
	if took := time.Since(began); took > limit || s.Len() != customers {
		t.Errorf("%d customers took %v", s.Len(), took)
	}
	if c := s.Lookup([]byte("c9999-second")); c == nil || c.Name != "c9999" {
		t.Errorf("last key belongs to %v", c)
	}
}
