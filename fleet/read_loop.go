package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/store"
)

// readLoop makes the store calls that are due until ctx ends.
func (f *Fleet) readLoop(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.wake:
		case <-t.C:
		}
		pause := time.Duration(0)
		for pause == 0 && ctx.Err() == nil {
			pause = f.readOnce(ctx)
		}
		t.Reset(pause)
	}
}

// readOnce makes the store call that is due and returns 0, or returns the time
// until one may be due.
func (f *Fleet) readOnce(ctx context.Context) time.Duration {
	f.mu.Lock()
	now := f.opt.Now()
	rank, after := f.table.HubRank(now), f.copy.Revision()
	kind, wait := f.reader.due(now, rank, after > 0, slices.Contains(f.opt.Seeds, f.opt.Self.Address))
	f.mu.Unlock()
	var d mirror.Delta
	var err error
	switch kind {
	case callNone:
		return wait
	case callReadAll:
		d, err = f.source.ReadAll(ctx)
	case callWatch:
		d, err = f.source.Watch(ctx, after, wait)
	}
	f.mu.Lock()
	f.handleReadResult(now, rank, kind, d, err)
	f.mu.Unlock()
	f.writeHubList(ctx)
	return 0
}

// handleReadResult processes the result of a store call that began at the time
// began. A full read confirms the copy as of its beginning, a watch as of now.
func (f *Fleet) handleReadResult(began time.Duration, rank int, kind storeCall, d mirror.Delta, err error) {
	now := f.opt.Now()
	f.opt.OnStoreCall(outcomeOf(err))
	if kind == callWatch && store.IsKind(err, store.NotFound) {
		level.Info(f.opt.Log).Log("msg", "store history no longer available, reading all keys", "revision", f.copy.Revision())
		f.reader.fullReadDue = true
		return
	}
	failedBefore := f.reader.failingSince > 0
	f.reader.callDone(now, rank, err == nil, rand.Float64())
	if err != nil {
		if !failedBefore {
			level.Warn(f.opt.Log).Log("msg", "store read failed", "copy_age", f.reader.age(now), "revision", f.copy.Revision(), "err", err)
		}
		return
	}
	confirmedAt := now
	if kind == callReadAll {
		f.reader.fullReadDue = false
		confirmedAt = began
	}
	f.apply(now, d, confirmedAt, "store")
	if kind == callWatch && len(d.Items) > 0 {
		f.reader.delayNextRead(now, rank)
	}
}

func outcomeOf(err error) string {
	var e *store.Error
	if errors.As(err, &e) {
		return e.Kind.String()
	}
	if err != nil {
		return "failed"
	}
	return "ok"
}
