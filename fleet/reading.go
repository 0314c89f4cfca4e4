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

// readLoop reads the store when this instance is to.
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

// readOnce makes the call that is due, or returns the time until one may be.
func (f *Fleet) readOnce(ctx context.Context) time.Duration {
	f.mu.Lock()
	now := f.opt.Now()
	rank, after := f.table.Rank(now), f.copy.Revision()
	what, wait := f.reader.due(now, rank, after > 0, slices.Contains(f.opt.Seeds, f.opt.Self.Address))
	f.mu.Unlock()
	var d mirror.Delta
	var err error
	switch what {
	case callNone:
		return wait
	case callReadAll:
		d, err = f.source.ReadAll(ctx)
	case callWatch:
		d, err = f.source.Watch(ctx, after, wait)
	}
	f.mu.Lock()
	f.readDone(now, rank, what, d, err)
	f.mu.Unlock()
	f.listHubs(ctx)
	return 0
}

// readDone takes the end of a call that began at the time given.
func (f *Fleet) readDone(began time.Duration, rank int, what call, d mirror.Delta, err error) {
	now := f.opt.Now()
	f.opt.StoreCall(outcomeOf(err))
	if what == callWatch && store.IsKind(err, store.NotFound) {
		level.Info(f.opt.Log).Log("msg", "store history gone, reading all", "revision", f.copy.Revision())
		f.reader.full = true
		return
	}
	failedBefore := f.reader.failing > 0
	f.reader.done(now, rank, err == nil, rand.Float64())
	if err != nil {
		if !failedBefore {
			level.Warn(f.opt.Log).Log("msg", "store lost", "copy_age", f.reader.age(now), "revision", f.copy.Revision(), "err", err)
		}
		return
	}
	proof := now
	if what == callReadAll {
		f.reader.full = false
		proof = began
	}
	f.apply(now, d, proof, "store")
	if what == callWatch && len(d.Items) > 0 {
		f.reader.gather(now, rank)
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
