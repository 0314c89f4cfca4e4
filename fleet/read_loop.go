package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
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
	kind, wait := f.reader.due(now, readState{rank: rank, hasCopy: after > 0, live: f.live, isolated: f.table.isolated(now)}, rand.Float64())
	f.mu.Unlock()
	var d mirror.Delta
	var err error
	confirmedAt := now
	switch kind {
	case callNone:
		return wait
	case callDirectory:
		f.readDirectory(ctx, rand.Float64())
		return 0
	case callReadFirst:
		d, confirmedAt, err = f.readFirst(ctx)
	case callReadAll:
		d, err = f.source.ReadAll(ctx)
	case callWatch:
		d, err = f.source.Watch(ctx, after, wait)
		confirmedAt = f.opt.Now()
	}
	f.mu.Lock()
	f.handleReadResult(rank, kind, d, confirmedAt, err)
	f.mu.Unlock()
	f.writeDirectory(ctx)
	return 0
}

// firstWatchWait is the wait of the watch that proves a stale copy complete.
const firstWatchWait = 20 * time.Millisecond

// readFirst reads the first copy: a stale one, whose calls cost little, and a
// watch from its revision, which proves that it is complete or brings what it
// lacks. It returns the time as of which the copy is complete.
func (f *Fleet) readFirst(ctx context.Context) (d mirror.Delta, confirmedAt time.Duration, err error) {
	if d, err = f.source.ReadAllStale(ctx); err != nil {
		return d, 0, err
	}
	confirmedAt = f.opt.Now()
	changes, err := f.source.Watch(ctx, d.Revision, firstWatchWait)
	switch {
	case store.IsKind(err, store.NotFound): // the history since the stale copy is gone
		confirmedAt = f.opt.Now()
		d, err = f.source.ReadAll(ctx)
	case err == nil:
		d = d.Append(changes)
	}
	return d, confirmedAt, err
}

// handleReadResult processes the result of a store call that shows the store's
// state as of confirmedAt.
func (f *Fleet) handleReadResult(rank int, kind storeCall, d mirror.Delta, confirmedAt time.Duration, err error) {
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
	if kind != callWatch {
		f.reader.fullReadDue = false
	}
	f.apply(now, d, confirmedAt, storeName)
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
