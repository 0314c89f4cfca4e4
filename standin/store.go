// Package standin provides stand-ins for the systems around the product, for
// tests and demos: the platform's store and list of instances, and upstreams.
// Faults can be injected into all of them.
package standin

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/store"
)

// Store is an in-memory version of the platform's store: keys with one revision
// counter for all, leases and a history of changes. It is safe for concurrent
// use.
type Store struct {
	mu       sync.Mutex
	revision int64
	// epoch is one more than the number of restorations.
	epoch             int64
	items             map[string]kvItem
	leases            map[int64]*lease
	changeLog         []kvItem // changes after compactedRevision, oldest first
	compactedRevision int64
	changed           chan struct{}
	now               func() time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty Store with the clock now.
func NewStore(now func() time.Time) *Store {
	return &Store{
		revision: 1, epoch: 1, items: map[string]kvItem{}, leases: map[int64]*lease{},
		changed: make(chan struct{}), now: now,
	}
}

// Get returns the value of key, or a store.NotFound error.
func (s *Store) Get(key string) (store.Value, error) {
	it, ok, _ := s.item(key)
	if !ok {
		return store.Value{}, &store.Error{Kind: store.NotFound, Op: "get", Key: key}
	}
	return it.storeValue(), nil
}

// item returns the item of a key, and the store's revision.
func (s *Store) item(key string) (it kvItem, ok bool, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok = s.items[key]
	return it, ok, s.revision
}

// Put writes data if the key's revision equals expect; 0 stands for an absent key.
// It returns the new revision.
func (s *Store) Put(key string, data []byte, expect, leaseID int64) (int64, error) {
	if len(data) > store.MaxValueBytes {
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

// commit executes a transaction atomically. If a revision differs from the
// expected one, it changes nothing and returns a store.Conflict error with the
// current items of the expected keys. A lease that does not exist gives a
// store.NotFound error.
func (s *Store) commit(t kvTxn) (revision int64, current []kvItem, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	matches := true
	for _, e := range t.Expect {
		it := s.items[e.Key]
		it.Key = e.Key
		current = append(current, it)
		matches = matches && it.Revision == e.Revision
	}
	if !matches {
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

// put writes a key and appends the change to the history. The caller must hold
// s.mu, as for remove, notify and expire.
func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	it := kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.changeLog = append(s.changeLog, it)
	s.notify()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.changeLog = append(s.changeLog, kvItem{Key: key, Revision: s.revision, Tombstone: true})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the leases that have expired, with their keys.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
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

// Keys returns the keys with a prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	items, _ := s.list(prefix, "")
	var out []string
	for _, it := range items {
		out = append(out, it.Key)
	}
	return out
}

// list returns the items with a prefix whose keys sort after the key after, sorted
// by key, and the store's revision.
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

// Grant creates a lease and returns its ID.
func (s *Store) Grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, expires: s.now().Add(ttl)}
	return s.revision
}

// KeepAlive renews a lease for its TTL.
func (s *Store) KeepAlive(id int64) error {
	_, err := s.renew(id, false)
	return err
}

// renew renews a lease for its TTL, or ends it.
func (s *Store) renew(id int64, end bool) (ttl time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return 0, &store.Error{Kind: store.NotFound, Op: "keepalive"}
	}
	l.expires = s.now().Add(l.ttl)
	if end {
		l.expires = s.now()
		s.expire()
	}
	return l.ttl, nil
}

// watchResult is the state of a watch at one moment.
type watchResult struct {
	events   []kvItem
	revision int64
	// compacted is set if the history no longer holds all changes after the
	// revision of the watch, or never had that revision.
	compacted bool
	// changed closes when any key changes or the history is dropped.
	changed <-chan struct{}
}

// changesSince returns the changes of keys with a prefix after a revision.
func (s *Store) changesSince(prefix string, after int64) watchResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	h := watchResult{revision: s.revision, compacted: after < s.compactedRevision || after > s.revision, changed: s.changed}
	for _, it := range s.changeLog {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			h.events = append(h.events, it)
		}
	}
	return h
}

// compact removes all changes so far from the history.
func (s *Store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.changeLog = s.revision, nil
	s.notify()
}

// Backup is a copy of a Store's state.
type Backup struct {
	revision int64
	items    map[string]kvItem
	leases   map[int64]lease
}

func (s *Store) backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Backup{revision: s.revision, items: maps.Clone(s.items), leases: map[int64]lease{}}
	for id, l := range s.leases {
		b.leases[id] = *l
	}
	return b
}

// restore returns the store to the state of b. What was written since is lost and
// revisions are given out again; the history begins at b, and the epoch rises.
func (s *Store) restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items, s.epoch = b.revision, maps.Clone(b.items), s.epoch+1
	s.compactedRevision, s.changeLog = b.revision, nil
	s.leases = map[int64]*lease{}
	for id, l := range b.leases {
		s.leases[id] = &lease{ttl: l.ttl, expires: s.now().Add(l.ttl)}
	}
	s.notify()
}

// currentEpoch returns the epoch.
func (s *Store) currentEpoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Watch waits until key has a revision above after and returns its value. It
// returns false if done closes first.
func (s *Store) Watch(key string, after int64, done <-chan struct{}) (store.Value, bool) {
	for {
		it, ok, _ := s.item(key)
		if ok && it.Revision > after {
			return it.storeValue(), true
		}
		select {
		case <-s.changesSince(key, after).changed:
		case <-done:
			return store.Value{}, false
		}
	}
}
