package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/catkinrouter/catkinrouter/mirror"
)

// hubList is the store's word on where the hubs are. It need not be right: an
// instance asks the addresses as it asks its seeds.
type hubList struct {
	Addresses []string `json:"addresses"`
	revision  int64
}

const (
	// listAfter is how long an instance is the first hub before it writes
	// the list.
	listAfter = 3 * time.Second
	// listLength is the number of addresses written.
	listLength = 3
)

// takeHubs takes the list where it is among the changed items.
func (f *Fleet) takeHubs(changed []mirror.Item) {
	for _, it := range changed {
		if it.Key != f.opt.HubsKey {
			continue
		}
		f.listed = hubList{revision: it.Revision}
		if it.Deleted {
			f.listed.revision = 0
			continue
		}
		if err := json.Unmarshal(it.Value, &f.listed); err != nil {
			level.Warn(f.opt.Log).Log("msg", "list of hubs ignored", "key", it.Key, "revision", it.Revision, "err", err)
			continue
		}
		f.table.Seed(f.listed.Addresses)
	}
}

// listHubs writes the list where this instance is the first hub and not on it.
// A write that fails is made up for by a later one, or by the next hub's.
func (f *Fleet) listHubs(ctx context.Context) {
	f.mu.Lock()
	now := f.opt.Now()
	due := f.opt.HubsKey != "" && f.table.Rank(now) == 0 && now-f.table.hubSince >= listAfter &&
		!slices.Contains(f.listed.Addresses, f.opt.Self.Address)
	expect := f.listed.revision
	var next hubList
	for _, m := range f.table.Live() {
		if len(next.Addresses) < listLength {
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
	f.opt.StoreCall(outcomeOf(err))
	level.Info(f.opt.Log).Log("msg", "list of hubs written", "revision_before", expect, "err", err)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.table.hubSince = f.opt.Now() // try again later
	}
}
