package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/store"
)

// fakeStore is an in-memory store that can fail for some instances.
type fakeStore struct {
	mu          sync.Mutex
	items       []mirror.Item
	rev         store.Revision
	changed     chan struct{}
	calls       int
	down        map[string]bool
	compactedTo store.Revision // history before this revision is gone
	staleBy     int            // number of changes that stale reads lack
}

func newFakeStore() *fakeStore {
	return &fakeStore{changed: make(chan struct{}), down: map[string]bool{}}
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.items = append(s.items, mirror.Item{Key: key, Value: []byte(value), Revision: s.rev})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) update(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

// storeClient is the Source of one instance.
type storeClient struct {
	s  *fakeStore
	id string
}

func (c storeClient) startCall() error {
	c.s.calls++
	if c.s.down[c.id] || c.s.down["*"] {
		return &store.Error{Kind: store.Unavailable}
	}
	return nil
}

func (c storeClient) ReadAll(context.Context) (mirror.Delta, error) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if err := c.startCall(); err != nil {
		return mirror.Delta{}, err
	}
	newest := map[string]mirror.Item{}
	for _, it := range c.s.items {
		newest[it.Key] = it
	}
	d := mirror.Delta{Full: true, Revision: max(1, c.s.rev)}
	for _, it := range newest {
		d.Items = append(d.Items, it)
	}
	return d, nil
}

// ReadAllStale returns the items of staleBy revisions ago.
func (c storeClient) ReadAllStale(ctx context.Context) (mirror.Delta, error) {
	c.s.mu.Lock()
	items, rev := c.s.items, c.s.rev
	c.s.items, c.s.rev = items[:max(0, len(items)-c.s.staleBy)], max(0, rev-store.Revision(c.s.staleBy))
	c.s.mu.Unlock()
	d, err := c.ReadAll(ctx)
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.items, c.s.rev = items, rev
	return d, err
}

func (c storeClient) ReadStale(_ context.Context, key string) ([]byte, error) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if err := c.startCall(); err != nil {
		return nil, err
	}
	for i := len(c.s.items) - 1; i >= 0; i-- {
		if it := c.s.items[i]; it.Key == key {
			return it.Value, nil
		}
	}
	return nil, &store.Error{Kind: store.NotFound}
}

func (c storeClient) Watch(ctx context.Context, after store.Revision, wait time.Duration) (mirror.Delta, error) {
	timeout := time.After(wait)
	for {
		c.s.mu.Lock()
		err := c.startCall()
		if err == nil && after < c.s.compactedTo {
			err = &store.Error{Kind: store.NotFound}
		}
		d := mirror.Delta{Base: after, Revision: max(after, c.s.rev)}
		for _, it := range c.s.items {
			if it.Revision > after {
				d.Items = append(d.Items, it)
			}
		}
		changed := c.s.changed
		c.s.mu.Unlock()
		if err != nil || len(d.Items) > 0 {
			return d, err
		}
		select {
		case <-changed:
		case <-timeout:
			return d, nil
		case <-ctx.Done():
			return d, ctx.Err()
		}
	}
}

func (c storeClient) Write(_ context.Context, key string, value []byte, expect store.Revision) error {
	c.s.mu.Lock()
	err := c.startCall()
	for _, it := range c.s.items {
		if err == nil && it.Key == key && it.Revision > expect {
			err = &store.Error{Kind: store.Conflict}
		}
	}
	c.s.mu.Unlock()
	if err == nil {
		c.s.put(key, string(value))
	}
	return err
}
