package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/catkinrouter/catkinrouter/mirror"
)

// hubList is the list of hub addresses kept in the store. It may be outdated:
// its addresses are only contacted, like seeds.
type hubList struct {
	Addresses []string `json:"addresses"`
	revision  int64
}

const (
	// hubListDelay is how long an instance must have been a hub before, as
	// the first hub, it writes the list, and the delay after a failed write.
	hubListDelay = 3 * time.Second
	// hubListLength is the maximum number of addresses written.
	hubListLength = 3
)

// applyHubList reads the hub list if it is among the changed items, and adds its
// addresses as seeds.
func (f *Fleet) applyHubList(changed []mirror.Item) {
	for _, it := range changed {
		if it.Key != f.opt.HubsKey {
			continue
		}
		f.storedHubs = hubList{revision: it.Revision}
		if it.Deleted {
			f.storedHubs.revision = 0
			continue
		}
		if err := json.Unmarshal(it.Value, &f.storedHubs); err != nil {
			level.Warn(f.opt.Log).Log("msg", "hub list ignored", "key", it.Key, "revision", it.Revision, "err", err)
			continue
		}
		f.table.AddSeeds(f.storedHubs.Addresses)
	}
}

// writeHubList writes the hub list if this instance is the first hub and is
// missing from it. A failed write is retried later, by this or the next first
// hub.
func (f *Fleet) writeHubList(ctx context.Context) {
	f.mu.Lock()
	now := f.opt.Now()
	due := f.opt.HubsKey != "" && f.table.HubRank(now) == 0 && now-f.table.hubSince >= hubListDelay &&
		!slices.Contains(f.storedHubs.Addresses, f.opt.Self.Address)
	expect := f.storedHubs.revision
	var next hubList
	for _, m := range f.table.Live() {
		if len(next.Addresses) < hubListLength {
			next.Addresses = append(next.Addresses, m.Address)
		}
	}
	f.mu.Unlock()
	if !due {
		return
	}
	value, err := json.Marshal(next)
	if err == nil {
		err = f.source.Write(ctx, f.opt.HubsKey, value, expect)
	}
	f.opt.OnStoreCall(outcomeOf(err))
	level.Info(f.opt.Log).Log("msg", "hub list write completed", "revision_before", expect, "err", err)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.table.hubSince = f.opt.Now() // delays the retry by hubListDelay
	}
}
