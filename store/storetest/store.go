// Package storetest provides an in-memory store for tests of users of the
// platform. The test injects a fault into each call and provides the clock. A
// Process runs one of several users of a store step by step, so that the test
// can interleave or kill them between any two calls.
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

// Fault is the fault injected into one call.
type Fault uint8

// Faults of calls. LostRequest, LostResponse and DelayedWrite return
// store.Indefinite for a write and store.Unavailable for a read.
const (
	// None injects no fault.
	None Fault = iota
	// Down fails the call with store.Unavailable; it changes nothing.
	Down
	// LostRequest loses the request: the call changes nothing.
	LostRequest
	// LostResponse loses the response: the call took effect.
	LostResponse
	// DelayedWrite delays a write: it takes effect at ReleaseWrite, if at all.
	DelayedWrite
	// StaleRead makes a Get return the value before the newest one.
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

// isWrite reports whether the call may change the store.
func (o Op) isWrite() bool { return o == Put || o == Delete || o == Grant || o == KeepAlive }

// Call is one call to the store.
type Call struct {
	Op  Op
	Key string
	// User is the name of the Client that makes the call.
	User string
}

// Write is a Put or Delete that took effect.
type Write struct {
	Call
	Value store.Value // without data for a Delete
}

// FaultFunc returns the fault to inject into a call. It may block, to make the
// call slow, and may be called from several goroutines.
type FaultFunc func(context.Context, Call) Fault

// Store is an in-memory store. It is safe for concurrent use.
type Store struct {
	inner   *standin.Store
	onWrite func(Write)

	mu      sync.Mutex
	newest  map[string][]store.Value // the last two values of each key, newest last
	delayed []func()                 // writes that wait for ReleaseWrite
}

// NewStore returns an empty Store. The clock now decides when leases end.
// onWrite, unless nil, is called with each write that took effect, in order.
func NewStore(now func() time.Time, onWrite func(Write)) *Store {
	if onWrite == nil {
		onWrite = func(Write) {}
	}
	return &Store{inner: standin.NewStore(now), onWrite: onWrite, newest: map[string][]store.Value{}}
}

// Client returns a client with user as the User of its calls. chooseFault
// returns the fault of each call; nil means no faults.
func (s *Store) Client(user string, chooseFault FaultFunc) *Client {
	if chooseFault == nil {
		chooseFault = func(context.Context, Call) Fault { return None }
	}
	return &Client{store: s, user: user, chooseFault: chooseFault}
}

// DelayedWrites returns the number of writes that wait for ReleaseWrite.
func (s *Store) DelayedWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.delayed)
}

// ReleaseWrite applies the i-th delayed write; the store may still refuse it,
// such as for a conflict. It does nothing if there is no such write.
func (s *Store) ReleaseWrite(i int) {
	s.mu.Lock()
	if i >= len(s.delayed) {
		s.mu.Unlock()
		return
	}
	write := s.delayed[i]
	s.delayed = slices.Delete(s.delayed, i, i+1)
	s.mu.Unlock()
	write()
}

// apply runs write, which writes c.Key, and calls onWrite under the lock, so
// that the calls have the order of the writes.
func (s *Store) apply(c Call, write func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, _ := s.inner.Get(c.Key)
	if err := write(); err != nil {
		return err
	}
	v, err := s.inner.Get(c.Key)
	if c.Op == Put && err == nil && v.Revision != before.Revision {
		values := append(s.newest[c.Key], v)
		s.newest[c.Key] = values[max(0, len(values)-2):]
	}
	s.onWrite(Write{Call: c, Value: v})
	return nil
}

// staleValue returns the value before the newest one, or the newest if there is
// only one.
func (s *Store) staleValue(key string) (store.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.newest[key]) == 0 {
		return s.inner.Get(key)
	}
	return s.newest[key][0], nil
}

// Client implements store.Store on a Store.
type Client struct {
	store       *Store
	user        string
	chooseFault FaultFunc
}

var errFault = errors.New("fault injected by the test")

// call runs f, which makes the call, with the fault that chooseFault returns.
func (c *Client) call(ctx context.Context, op Op, key string, f func(Fault) error) error {
	fault := c.chooseFault(ctx, Call{Op: op, Key: key, User: c.user})
	fail := func(k store.Kind) error {
		if k == store.Indefinite && !op.isWrite() {
			k = store.Unavailable
		}
		return &store.Error{Kind: k, Op: string(op), Key: key, Err: errFault}
	}
	switch {
	case fault == Down:
		return fail(store.Unavailable)
	case fault == LostRequest:
		return fail(store.Indefinite)
	case fault == DelayedWrite && op.isWrite():
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.delayed = append(c.store.delayed, func() { _ = f(fault) }) // the caller has its error already
		return fail(store.Indefinite)
	}
	err := f(fault)
	if fault == LostResponse || fault == DelayedWrite || op.isWrite() && ctx.Err() != nil {
		return fail(store.Indefinite)
	}
	return err
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (v store.Value, err error) {
	err = c.call(ctx, Get, key, func(fault Fault) (err error) {
		if fault == StaleRead {
			v, err = c.store.staleValue(key)
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
	err := c.call(ctx, Put, key, func(Fault) error {
		return c.store.apply(Call{Op: Put, Key: key, User: c.user}, func() (err error) {
			revision, err = c.store.inner.Put(key, data, expect, lease)
			return err
		})
	})
	if err != nil {
		return 0, err // a delayed write still sets the revision
	}
	return revision, nil
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	return c.call(ctx, Delete, key, func(Fault) error {
		return c.store.apply(Call{Op: Delete, Key: key, User: c.user}, func() error {
			return c.store.inner.Delete(key, expect)
		})
	})
}

// Keys implements store.Store.
func (c *Client) Keys(ctx context.Context, prefix string) (keys []string, err error) {
	err = c.call(ctx, Keys, prefix, func(Fault) error {
		keys = c.store.inner.Keys(prefix)
		return nil
	})
	return keys, err
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttlMillis int64) (int64, error) {
	var lease int64
	err := c.call(ctx, Grant, "", func(Fault) error {
		lease = c.store.inner.Grant(time.Duration(ttlMillis) * time.Millisecond)
		return nil
	})
	if err != nil {
		return 0, err // a delayed grant still sets the lease
	}
	return lease, nil
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, lease int64) error {
	return c.call(ctx, KeepAlive, "", func(Fault) error { return c.store.inner.KeepAlive(lease) })
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, key string, after int64) (v store.Value, err error) {
	err = c.call(ctx, Watch, key, func(Fault) error {
		var ok bool
		if v, ok = c.store.inner.Watch(key, after, ctx.Done()); !ok {
			return &store.Error{Kind: store.Unchanged, Op: string(Watch), Key: key}
		}
		return nil
	})
	return v, err
}
