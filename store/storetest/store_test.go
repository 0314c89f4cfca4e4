package storetest_test

import (
	"context"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/store"
	"github.com/catkinrouter/catkinrouter/store/storetest"
)

// The kind of a failed write states whether it may have taken effect: only a
// write that was not applied may return Unavailable.
func TestWriteFaults(t *testing.T) {
	tests := []struct {
		fault   storetest.Fault
		kind    store.Kind // 0 for none
		written bool
		delayed bool // written by ReleaseWrite
	}{
		{storetest.None, 0, true, false},
		{storetest.Down, store.Unavailable, false, false},
		{storetest.LostRequest, store.Indefinite, false, false},
		{storetest.LostResponse, store.Indefinite, true, false},
		{storetest.DelayedWrite, store.Indefinite, false, true},
	}
	for _, tt := range tests {
		s := storetest.NewStore(time.Now, nil)
		c := s.Client("a", func(context.Context, storetest.Call) storetest.Fault { return tt.fault })
		_, err := c.Put(t.Context(), "key", []byte("x"), 0, 0)
		if (err != nil) != (tt.kind != 0) || err != nil && !store.IsKind(err, tt.kind) {
			t.Errorf("fault %d: error %v, want kind %v", tt.fault, err, tt.kind)
		}
		written := func() bool {
			_, err := s.Client("b", nil).Get(t.Context(), "key")
			return err == nil
		}
		if written() != tt.written || (s.DelayedWrites() == 1) != tt.delayed {
			t.Errorf("fault %d: written %v, delayed %d", tt.fault, written(), s.DelayedWrites())
		}
		if tt.delayed {
			s.ReleaseWrite(0)
			if !written() {
				t.Errorf("fault %d: not written by ReleaseWrite", tt.fault)
			}
		}
	}
}

func TestProcessBlocksBeforeEachCall(t *testing.T) {
	s := storetest.NewStore(time.Now, nil)
	var got []error
	p := s.Go("a", func(c *storetest.Client) {
		for _, key := range []string{"x", "y", "z"} {
			_, err := c.Put(t.Context(), key, nil, 0, 0)
			got = append(got, err)
		}
	})
	p.Step(storetest.None)
	p.Step(storetest.Down)
	if p.Done() || p.Next().Key != "z" || len(got) != 2 || got[0] != nil || !store.IsKind(got[1], store.Unavailable) {
		t.Fatalf("done %v, next %v, results %v", p.Done(), p.Next(), got)
	}
	p.Kill()
	if keys, _ := s.Client("b", nil).Keys(t.Context(), ""); len(keys) != 1 || !p.Done() {
		t.Fatalf("keys %v, done %v", keys, p.Done())
	}
}
