// Package storetest has a store in memory for tests of what uses the
// platform: each call meets a fault that the test chooses, on the test's own
// clock. A Stepper runs several users of one store in lock-step, so that a
// test can stop, kill or let go each of them between any two calls.
package storetest

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/standin"
	"github.com/catkinrouter/catkinrouter/store"
)

// Fault is what happens to one call.
type Fault uint8

// Faults of a call.
const (
	// None answers the call.
	None Fault = iota
	// Down refuses the call; it changes nothing.
	Down
	// LostCall gives no answer; the call changes nothing.
	LostCall
	// LostAnswer gives no answer; the call took effect.
	LostAnswer
	// Late gives no answer; the call takes effect at Release.
	Late
	// StaleRead answers a Get with the value before the newest one.
	StaleRead
)

// Op names a call of store.Store.
type Op string

// Calls of store.Store.
const (
	Get       Op = "get"
	Put       Op = "put"
	Delete    Op = "delete"
	Keys      Op = "keys"
	Grant     Op = "grant"
	KeepAlive Op = "keepalive"
	Watch     Op = "watch"
)

// changes tells whether the call may change the store.
func (o Op) changes() bool { return o == Put || o == Delete || o == Grant || o == KeepAlive }

// Call is one call of the store.
type Call struct {
	Op  Op
	Key string
	// User is the name given to the Client that calls.
	User string
}

// Write is a Put or Delete that took effect.
type Write struct {
	Call
	Value store.Value // without data for a Delete
}

// Chooser chooses the fault of a call. It may block, to make the call slow,
// and may be called from several goroutines.
type Chooser func(context.Context, Call) Fault

// Store is a store in memory, safe for concurrent use.
type Store struct {
	inner   *standin.Store
	onWrite func(Write)

	mu   sync.Mutex
	last map[string][]store.Value // newest last, at most two
	late []func()
}

// NewStore returns an empty Store whose leases end by the clock given.
// OnWrite, unless nil, is told each write that took effect, in order.
func NewStore(now func() time.Time, onWrite func(Write)) *Store {
	if onWrite == nil {
		onWrite = func(Write) {}
	}
	return &Store{inner: standin.NewStore(now), onWrite: onWrite, last: map[string][]store.Value{}}
}

// Client returns a user of the store whose calls meet the faults chosen; a
// nil choose means none.
func (s *Store) Client(user string, choose Chooser) *Client {
	if choose == nil {
		choose = func(context.Context, Call) Fault { return None }
	}
	return &Client{store: s, user: user, choose: choose}
}

// LateWrites returns the number of writes that wait for Release.
func (s *Store) LateWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.late)
}

// Release lets the i-th late write take effect, as far as the store takes it.
// It does nothing where there is no such write.
func (s *Store) Release(i int) {
	s.mu.Lock()
	if i >= len(s.late) {
		s.mu.Unlock()
		return
	}
	f := s.late[i]
	s.late = slices.Delete(s.late, i, i+1)
	s.mu.Unlock()
	f()
}

// apply does f, which writes key, and tells onWrite in the store's order.
func (s *Store) apply(c Call, f func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, _ := s.inner.Get(c.Key)
	if err := f(); err != nil {
		return err
	}
	v, err := s.inner.Get(c.Key)
	if c.Op == Put && err == nil && v.Revision != before.Revision {
		kept := append(s.last[c.Key], v)
		s.last[c.Key] = kept[max(0, len(kept)-2):]
	}
	s.onWrite(Write{Call: c, Value: v})
	return nil
}

// stale returns the value before the newest one; the newest where it is the
// only one.
func (s *Store) stale(key string) (store.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.last[key]) == 0 {
		return s.inner.Get(key)
	}
	return s.last[key][0], nil
}

// Client is a store.Store on a Store.
type Client struct {
	store  *Store
	user   string
	choose Chooser
}

var errFault = errors.New("fault chosen by the test")

// do makes a call that meets its fault.
func (c *Client) do(ctx context.Context, op Op, key string, f func(Fault) error) error {
	fault := c.choose(ctx, Call{Op: op, Key: key, User: c.user})
	fail := func(k store.Kind) error {
		if k == store.Indefinite && !op.changes() {
			k = store.Unavailable
		}
		return &store.Error{Kind: k, Op: string(op), Key: key, Err: errFault}
	}
	switch {
	case fault == Down:
		return fail(store.Unavailable)
	case fault == LostCall:
		return fail(store.Indefinite)
	case fault == Late && op.changes():
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.late = append(c.store.late, func() { _ = f(fault) }) // nobody waits for its result
		return fail(store.Indefinite)
	}
	err := f(fault)
	if fault == LostAnswer || fault == Late || op.changes() && ctx.Err() != nil {
		return fail(store.Indefinite)
	}
	return err
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (v store.Value, err error) {
	err = c.do(ctx, Get, key, func(fault Fault) (err error) {
		if fault == StaleRead {
			v, err = c.store.stale(key)
			return err
		}
		v, err = c.store.inner.Get(key)
		return err
	})
	return v, err
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, data []byte, expect, lease int64) (int64, error) {
	var revision int64
	data = slices.Clone(data)
	err := c.do(ctx, Put, key, func(Fault) error {
		return c.store.apply(Call{Op: Put, Key: key, User: c.user}, func() (err error) {
			revision, err = c.store.inner.Put(key, data, expect, lease)
			return err
		})
	})
	if err != nil {
		return 0, err // a late write still sets the revision
	}
	return revision, nil
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	return c.do(ctx, Delete, key, func(Fault) error {
		return c.store.apply(Call{Op: Delete, Key: key, User: c.user}, func() error {
			return c.store.inner.Delete(key, expect)
		})
	})
}

// Keys implements store.Store.
func (c *Client) Keys(ctx context.Context, prefix string) (keys []string, err error) {
	err = c.do(ctx, Keys, prefix, func(Fault) error {
		keys = c.store.inner.Keys(prefix)
		return nil
	})
	return keys, err
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttlMillis int64) (int64, error) {
	var lease int64
	err := c.do(ctx, Grant, "", func(Fault) error {
		lease = c.store.inner.Grant(time.Duration(ttlMillis) * time.Millisecond)
		return nil
	})
	if err != nil {
		return 0, err // a late grant still sets the lease
	}
	return lease, nil
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, lease int64) error {
	return c.do(ctx, KeepAlive, "", func(Fault) error { return c.store.inner.KeepAlive(lease) })
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, key string, after int64) (v store.Value, err error) {
	err = c.do(ctx, Watch, key, func(Fault) error {
		var ok bool
		if v, ok = c.store.inner.Watch(key, after, ctx.Done()); !ok {
			return &store.Error{Kind: store.Unchanged, Op: string(Watch), Key: key}
		}
		return nil
	})
	return v, err
}
