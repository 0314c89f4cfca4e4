// Package standin plays the systems around the product in tests and demos:
// the platform's store and list, and upstreams, all with fault switches.
package standin

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/store"
)

// Store is an in-memory platform store: keys under one revision counter,
// leases, and a history of changes. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]kvItem
	leases   map[int64]*lease
	log      []kvItem // changes after the revision lost, oldest first
	lost     int64
	changed  chan struct{}
	now      func() time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// NewStore returns an empty Store that reads time from now.
func NewStore(now func() time.Time) *Store {
	return &Store{
		revision: 1, items: map[string]kvItem{}, leases: map[int64]*lease{},
		changed: make(chan struct{}), now: now,
	}
}

// Get returns the value of key.
func (s *Store) Get(key string) (store.Value, error) {
	it, ok, _ := s.item(key)
	if !ok {
		return store.Value{}, &store.Error{Kind: store.NotFound, Op: "get", Key: key}
	}
	return it.stored(), nil
}

// item returns a key and the store's revision.
func (s *Store) item(key string) (it kvItem, ok bool, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok = s.items[key]
	return it, ok, s.revision
}

// Put writes data if the key's revision equals expect.
func (s *Store) Put(key string, data []byte, expect, leaseID int64) (int64, error) {
	if len(data) > store.MaxValue {
		return 0, &store.Error{Kind: store.Invalid, Op: "put", Key: key}
	}
	revision, _, err := s.commit(kvTxn{
		Expect: []kvExpect{{Key: key, Revision: expect}}, Puts: []kvPut{{Key: key, Value: data, Lease: leaseID}},
	})
	return revision, err
}

// Delete removes key if its revision equals expect.
func (s *Store) Delete(key string, expect int64) error {
	_, current, err := s.commit(kvTxn{Expect: []kvExpect{{Key: key, Revision: expect}}, Delete: []string{key}})
	if store.IsKind(err, store.Conflict) && current[0].Revision == 0 {
		return &store.Error{Kind: store.NotFound, Op: "delete", Key: key}
	}
	return err
}

// commit does a transaction whole or not at all. Where it is refused it returns
// the state of the keys expected.
func (s *Store) commit(t kvTxn) (revision int64, current []kvItem, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held := true
	for _, e := range t.Expect {
		it := s.items[e.Key]
		it.Key = e.Key
		current = append(current, it)
		held = held && it.Revision == e.Revision
	}
	if !held {
		return s.revision, current, &store.Error{Kind: store.Conflict, Op: "commit", Key: t.Expect[0].Key}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return s.revision, current, &store.Error{Kind: store.NotFound, Op: "commit", Key: p.Key}
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Delete {
		s.remove(key)
	}
	return s.revision, nil, nil
}

// set writes a key without a condition, as operators and upstreams do.
func (s *Store) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// unset removes a key without a condition.
func (s *Store) unset(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// put must be called with mu held, like all below that take no lock.
func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	it := kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.log = append(s.log, it)
	s.notify()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.log = append(s.log, kvItem{Key: key, Revision: s.revision, Tombstone: true})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases that are over and removes their keys.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		for key, it := range s.items {
			if it.Lease == id {
				s.remove(key)
			}
		}
	}
}

// Keys lists the keys below prefix in order.
func (s *Store) Keys(prefix string) []string {
	items, _ := s.list(prefix, "")
	var out []string
	for _, it := range items {
		out = append(out, it.Key)
	}
	return out
}

// list returns the items below prefix whose keys come after one, in order.
func (s *Store) list(prefix, after string) (out []kvItem, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b kvItem) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision
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
	_, err := s.renew(id, false)
	return err
}

// renew extends a lease by its ttl, or ends it.
func (s *Store) renew(id int64, end bool) (ttl time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return 0, &store.Error{Kind: store.NotFound, Op: "keepalive"}
	}
	l.ends = s.now().Add(l.ttl)
	if end {
		l.ends = s.now()
		s.expire()
	}
	return l.ttl, nil
}

// history is what a watch sees at a moment.
type history struct {
	events   []kvItem
	revision int64
	// gone is set where the history asked for was dropped.
	gone bool
	// changed closes with the next change.
	changed <-chan struct{}
}

// since returns the changes below prefix after a revision.
func (s *Store) since(prefix string, after int64) history {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	h := history{revision: s.revision, gone: after < s.lost, changed: s.changed}
	for _, it := range s.log {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			h.events = append(h.events, it)
		}
	}
	return h
}

// dropHistory forgets all changes so far.
func (s *Store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost, s.log = s.revision, nil
	s.notify()
}

// Watch returns once key has a revision above after, or done closes; then it
// returns false.
func (s *Store) Watch(key string, after int64, done <-chan struct{}) (store.Value, bool) {
	for {
		it, ok, _ := s.item(key)
		if ok && it.Revision > after {
			return it.stored(), true
		}
		select {
		case <-s.since(key, after).changed:
		case <-done:
			return store.Value{}, false
		}
	}
}
