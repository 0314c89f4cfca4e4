package config_test

import (
	"context"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/store"
	"github.com/catkinrouter/catkinrouter/store/storetest"
)

// confirmed returns a store in which n plans were confirmed, the head after each and
// the store revision of its key.
func confirmed(t *testing.T, n int) (s *storetest.Client, heads []config.Head, keys []int64) {
	t.Helper()
	s = storetest.NewStore(time.Now, nil).Client("operator", nil)
	c := config.NewCommitter(s)
	for i := range n {
		p, err := c.Plan(context.Background(), testDocument(i+1))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Confirm(context.Background(), p.ID); err != nil {
			t.Fatal(err)
		}
		h, key, err := c.Head(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		heads, keys = append(heads, h), append(keys, key)
	}
	return s, heads, keys
}

func TestExtends(t *testing.T) {
	_, heads, _ := confirmed(t, 3)
	_, others, _ := confirmed(t, 1)
	other := config.NewHead(2, heads[2].Document)
	none := config.Head{}
	for _, c := range []struct {
		what    string
		h, base config.Head
		want    bool
	}{
		{"a later head", heads[2], heads[1], true},
		{"two later", heads[2], heads[0], true},
		{"the first", others[0], none, true},
		{"itself", heads[1], heads[1], false},
		{"an earlier head", heads[0], heads[2], false},
		{"nothing", none, heads[0], false},
		{"a head on another one of that revision", heads[2], other, false},
	} {
		if got := c.h.Extends(&c.base); got != c.want {
			t.Errorf("%s: %v", c.what, got)
		}
	}
}

// A plan that was confirmed on an older head, with which the store had come back,
// was refused by all agents.
func TestRestoreWritesLostHead(t *testing.T) {
	s, heads, keys := confirmed(t, 2)
	ctx := context.Background()
	c := config.NewCommitter(s)
	if err := c.Restore(ctx, heads[0], keys[1]); err != nil { // the store loses the second
		t.Fatal(err)
	}
	h, key, err := c.Head(ctx)
	if err != nil || h.Revision != 1 {
		t.Fatalf("revision %d, %v", h.Revision, err)
	}
	if err := c.Restore(ctx, heads[1], keys[1]); !store.IsKind(err, store.Conflict) {
		t.Errorf("error %v, want a conflict: the key has changed", err)
	}
	if err := c.Restore(ctx, heads[1], key); err != nil {
		t.Fatal(err)
	}
	p, err := c.Plan(ctx, testDocument(9))
	if err != nil {
		t.Fatal(err)
	}
	if a, err := c.Confirm(ctx, p.ID); err != nil || a.InForce != 3 {
		t.Errorf("revision %d in force, %v; want 3", a.InForce, err)
	}
}
