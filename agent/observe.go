package agent

import (
	"context"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/platform"
)

// observedStore is the store as operators' calls use it: each head that it
// shows as accepted goes to the Node at once.
type observedStore struct {
	platform.Store
	d *Daemon
}

// Get implements platform.Store.
func (s *observedStore) Get(ctx context.Context, key string) (platform.Value, error) {
	v, err := s.Store.Get(ctx, key)
	if err == nil && key == config.HeadKey {
		s.accept(v.Data)
	}
	return v, err
}

// Put implements platform.Store.
func (s *observedStore) Put(ctx context.Context, key string, data []byte, expect, lease int64) (int64, error) {
	rev, err := s.Store.Put(ctx, key, data, expect, lease)
	if err == nil && key == config.HeadKey {
		s.accept(data)
	}
	return rev, err
}

func (s *observedStore) accept(data []byte) {
	h, err := config.DecodeHead(data)
	if err != nil {
		s.d.count("config.refused.undecodable")
		return
	}
	s.d.post(func(n *Node, now time.Duration) []Action { return n.Accept(now, h) })
}
