package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/store"
)

// readLoop makes the store calls that are due until ctx ends.
func (f *Fleet) readLoop(ctx context.Context) error { return repeat(ctx, f.wake, f.readDue) }

// readDue makes the store calls that are due and returns the time until another one
// may be.
func (f *Fleet) readDue(ctx context.Context) time.Duration {
	pause := time.Duration(0)
	for pause == 0 && ctx.Err() == nil {
		if err := f.opt.Guard.Run("store read", func() { pause = f.readOnce(ctx) }); err != nil {
			pause = memberRetry
		}
	}
	return pause
}

// readOnce makes the store call that is due and returns 0, or returns the time
// until one may be due.
func (f *Fleet) readOnce(ctx context.Context) time.Duration {
	c := f.nextRead()
	var d mirror.Delta
	var err error
	switch c.kind {
	case callNone:
		return c.wait
	case callDirectory:
		value, err := f.source.ReadStale(ctx, f.opt.DirectoryKey)
		f.handleDirectory(value, err)
		return 0
	case callReadFirst:
		d, c.began, err = f.readFirst(ctx)
	case callReadAll:
		d, err = f.source.ReadAll(ctx)
	case callWatch:
		d, err = f.source.Watch(ctx, c.after, c.wait)
	}
	f.handleReadResult(c, d, err)
	f.writeDirectory(ctx)
	return 0
}

// dueRead is a store call that is due, or for callNone the time until one may be.
type dueRead struct {
	kind storeCall
	// wait is the longest wait of a watch, after its revision.
	wait  time.Duration
	after store.Revision
	// rank is this instance's place among the hubs, or -1.
	rank int
	// began is when the call began, or for a first copy its proving watch, by
	// Options.Elapsed.
	began time.Duration
}

func (f *Fleet) nextRead() dueRead {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, elapsed := f.readClocks()
	c := dueRead{rank: f.table.HubRank(now), after: f.copy.Revision(), began: elapsed}
	c.kind, c.wait = f.reader.due(now, readState{
		rank: c.rank, hasCopy: c.after > 0, live: f.live, isolated: f.table.isolated(now), leader: f.table.IsLeader(now), lacksStore: f.lacksStore(now), provenAge: f.proof.age(elapsed),
	}, f.opt.Jitter())
	return c
}

// firstWatchWait is the wait of the watch that proves a stale copy complete.
const firstWatchWait = 20 * time.Millisecond

// readFirst reads the first copy: a stale one, whose calls cost little, and a
// watch from its revision, which proves that it is complete or brings what it
// lacks. It returns when the call that proves the copy complete began.
func (f *Fleet) readFirst(ctx context.Context) (d mirror.Delta, began time.Duration, err error) {
	if d, err = f.source.ReadAllStale(ctx); err != nil {
		return d, 0, err
	}
	began = f.opt.Elapsed()
	changes, err := f.source.Watch(ctx, d.Revision, firstWatchWait)
	switch {
	case store.IsKind(err, store.NotFound): // the history since the stale copy is gone
		began = f.opt.Elapsed()
		d, err = f.source.ReadAll(ctx)
	case err == nil:
		d = d.Append(changes)
	}
	return d, began, err
}

// handleReadResult processes the result of a store call. A read shows the store's
// state as of its beginning, a watch as of now, unless its reply may have waited while this
// process stood still.
func (f *Fleet) handleReadResult(c dueRead, d mirror.Delta, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, elapsed := f.readClocks()
	f.opt.OnStoreCall(outcomeOf(err))
	if c.kind == callWatch && store.IsKind(err, store.NotFound) {
		level.Info(f.opt.Log).Log("msg", "store history no longer available, reading all keys", "revision", f.copy.Revision())
		f.reader.fullReadDue = true
		return
	}
	failedBefore, lackedStore := f.reader.failingSince > 0, f.lacksStore(now)
	f.reader.callDone(now, c.rank, err == nil, f.opt.Jitter())
	if err != nil {
		f.tellLacksStore(now, lackedStore)
		if !failedBefore {
			level.Warn(f.opt.Log).Log("msg", "store read failed", "copy_age", f.reader.age(now), "revision", f.copy.Revision(), "err", err)
		}
		return
	}
	confirmedAt, provenAt := c.began, c.began
	if c.kind == callWatch {
		provenAt = watchProvesAt(elapsed, c, len(d.Items))
		if confirmedAt = elapsed; c.began < f.resumedAt {
			confirmedAt = provenAt
		}
	} else {
		f.reader.fullReadDue = false
	}
	f.apply(now, d, confirmedAt, provenAt, SourceStore)
	if c.kind == callWatch && len(d.Items) > 0 {
		f.reader.delayNextRead(now, c.rank)
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
