package node_test

import (
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/standin"
)

// maxChangeDelay is the time within which a configuration must be in force.
const maxChangeDelay = 2 * time.Second

// restore takes the store away and brings it back from a copy.
func (s *site) restore(b standin.Backup) {
	s.kv.SetFaults(standin.KVFaults{Reset: true})
	time.Sleep(300 * time.Millisecond)
	s.kv.Restore(b)
	s.kv.SetFaults(standin.KVFaults{})
}

// newSiteWithBackup returns three nodes that serve version 1, which routes /x/ to the
// upstream i-a, and a copy of their store.
func newSiteWithBackup(t *testing.T) (*site, standin.Backup) {
	t.Helper()
	s := newSite(t, 3)
	newBackend(t, "i-a").register(s.kv, "tienda", "ready", 1)
	configure(s.kv, 1, "/x/", "tienda")
	s.waitAll("/x/1", 200, "i-a")
	return s, s.kv.Backup()
}

// waitAllWithin waits until every node answers path with the given status and
// body, and fails the test if that takes longer than limit.
func (s *site) waitAllWithin(limit time.Duration, path string, status int, body string) {
	s.t.Helper()
	end := time.Now().Add(limit)
	for _, r := range s.list {
		for {
			st, got := r.call(path)
			if st == status && got == body {
				break
			}
			if time.Now().After(end) {
				s.t.Fatalf("%s: status %d, %q after %v; want %d, %q", r.set.ID, st, got, limit, status, body)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// A configuration written after the store came back from a copy was missed: its
// revision had been given out before.
func TestConfigurationAfterStoreRestored(t *testing.T) {
	for _, lost := range []int{1, 3} { // revisions lost; one is given out again
		s, b := newSiteWithBackup(t)
		for i := range lost {
			configure(s.kv, 2+i, "/y/", "tienda")
		}
		s.waitAll("/y/1", 200, "i-a")
		s.restore(b)
		configure(s.kv, 7, "/z/", "tienda")
		s.waitAllWithin(maxChangeDelay, "/z/1", 200, "i-a")
		s.waitAll("/y/1", 404, "no-route")
		configure(s.kv, 9, "/x/", "tienda")
		s.waitAllWithin(maxChangeDelay, "/x/1", 200, "i-a")
	}
}

// A configuration came back older with the store's copy.
func TestConfigurationKeptWhenStoreRestored(t *testing.T) {
	s, b := newSiteWithBackup(t)
	configure(s.kv, 2, "/y/", "tienda")
	s.waitAll("/y/1", 200, "i-a")
	s.restore(b)
	s.checkFor(time.Second, "/y/1", 200, "i-a")
}

// checkFor fails the test if a node answers otherwise within d.
func (s *site) checkFor(d time.Duration, path string, status int, body string) {
	s.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, r := range s.list {
			if st, got := r.call(path); st != status || got != body {
				s.t.Fatalf("%s: status %d, %q; want %d, %q", r.set.ID, st, got, status, body)
			}
		}
	}
}

// Upstreams that had left before the store came back from a copy were used again,
// and those that had joined since then were dropped.
func TestUpstreamsKeptWhenStoreRestored(t *testing.T) {
	s := newSite(t, 3)
	drained, gone, joined := newBackend(t, "i-drained"), newBackend(t, "i-gone"), newBackend(t, "i-joined")
	drained.register(s.kv, "tienda", "ready", 1)
	gone.register(s.kv, "tienda", "ready", 1)
	configure(s.kv, 1, "/x/", "tienda")
	for _, r := range s.list {
		r.waitUntil(t, func() bool {
			st, _ := r.call("/x/1")
			return st == 200
		})
	}
	b := s.kv.Backup()
	drained.register(s.kv, "tienda", "draining", 2)
	s.kv.Delete("servers/i-gone")
	joined.register(s.kv, "tienda", "ready", 1)
	s.waitAll("/x/1", 200, "i-joined")
	s.checkFor(300*time.Millisecond, "/x/1", 200, "i-joined")
	s.restore(b)
	s.checkFor(time.Second, "/x/1", 200, "i-joined") // less than an upstream may take to register again
	joined.register(s.kv, "tienda", "ready", 3)
	s.checkFor(2500*time.Millisecond, "/x/1", 200, "i-joined")
	gone.register(s.kv, "tienda", "ready", 4) // it lives after all
	s.waitAllWithin(2*maxChangeDelay, "/x/1", 200, "i-gone")
}

// A node that started after the store came back from an older copy, and before the
// operator had written again, served by the older configuration.
func TestRestartKeepsConfigurationThatStoreLost(t *testing.T) {
	s, b := newSiteWithBackup(t)
	configure(s.kv, 2, "/y/", "tienda")
	s.waitAll("/y/1", 200, "i-a")
	s.restore(b)
	s.list[2].end(t)
	s.list[2] = s.start(2)
	s.waitAllWithin(maxChangeDelay, "/y/1", 200, "i-a")
	s.checkFor(500*time.Millisecond, "/y/1", 200, "i-a")
	configure(s.kv, 2, "/y/", "tienda") // the operator writes it again
	s.checkFor(500*time.Millisecond, "/y/1", 200, "i-a")
	configure(s.kv, 3, "/z/", "tienda")
	s.waitAllWithin(maxChangeDelay, "/z/1", 200, "i-a")
}
