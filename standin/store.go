// Package standin plays the systems around the product in tests and demos:
// the platform's store and list, and upstreams, all with fault switches.
package standin

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/store"
)

// Store is an in-memory platform store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]store.Value
	leases   map[int64]*lease
	changed  chan struct{}
	now      func() time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// NewStore returns an empty Store that reads time from now.
func NewStore(now func() time.Time) *Store {
	return &Store{keys: map[string]store.Value{}, leases: map[int64]*lease{}, changed: make(chan struct{}), now: now}
}

// Get returns the value of key.
func (s *Store) Get(key string) (store.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	v, ok := s.keys[key]
	if !ok {
		return v, &store.Error{Kind: store.NotFound, Op: "get", Key: key}
	}
	return v, nil
}

// Put writes data if the key's revision equals expect.
func (s *Store) Put(key string, data []byte, expect, leaseID int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if len(data) > store.MaxValue {
		return 0, &store.Error{Kind: store.Invalid, Op: "put", Key: key}
	}
	if s.keys[key].Revision != expect {
		return 0, &store.Error{Kind: store.Conflict, Op: "put", Key: key}
	}
	if leaseID != 0 && s.leases[leaseID] == nil {
		return 0, &store.Error{Kind: store.NotFound, Op: "put", Key: key}
	}
	s.revision++
	s.keys[key] = store.Value{Data: data, Revision: s.revision, Lease: leaseID}
	s.notify()
	return s.revision, nil
}

// Delete removes key if its revision equals expect.
func (s *Store) Delete(key string, expect int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	v, ok := s.keys[key]
	switch {
	case !ok:
		return &store.Error{Kind: store.NotFound, Op: "delete", Key: key}
	case v.Revision != expect:
		return &store.Error{Kind: store.Conflict, Op: "delete", Key: key}
	}
	delete(s.keys, key)
	s.revision++
	s.notify()
	return nil
}

// Keys lists the keys below prefix in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Grant starts a lease.
func (s *Store) Grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, ends: s.now().Add(ttl)}
	return s.revision
}

// KeepAlive extends a lease by its ttl.
func (s *Store) KeepAlive(id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return &store.Error{Kind: store.NotFound, Op: "keepalive"}
	}
	l.ends = s.now().Add(l.ttl)
	return nil
}

// Watch returns once key has a revision above after, or done closes; then it
// returns false.
func (s *Store) Watch(key string, after int64, done <-chan struct{}) (store.Value, bool) {
	for {
		s.mu.Lock()
		s.expire()
		v, ok := s.keys[key]
		changed := s.changed
		s.mu.Unlock()
		if ok && v.Revision > after {
			return v, true
		}
		select {
		case <-changed:
		case <-done:
			return store.Value{}, false
		}
	}
}

// expire ends leases that are over and removes their keys. It must be called
// with mu held.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		for k, v := range s.keys {
			if v.Lease == id {
				delete(s.keys, k)
				s.revision++
			}
		}
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
