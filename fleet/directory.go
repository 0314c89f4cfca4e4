package fleet

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/store"
)

// directory is the list of leaders that is kept in the store, so that an instance
// that starts finds those of its data centre. It may be outdated: its addresses
// are only contacted, like seeds.
type directory struct {
	Leaders []directoryEntry `json:"leaders"`
	// Live is the number of live instances.
	Live     int `json:"live"`
	revision store.Revision
}

type directoryEntry struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

const (
	// directoryDelay is how long an instance must have been a hub before, as the
	// first hub, it writes the directory, and the delay after each write.
	directoryDelay = 3 * time.Second
	// maxDirectoryLeaders bounds the leaders in a directory.
	maxDirectoryLeaders = 64
)

// decodeDirectory decodes the value of the directory's key. Entries without a valid
// address are left out.
func decodeDirectory(value []byte) (directory, error) {
	var d directory
	if err := json.Unmarshal(value, &d); err != nil {
		return directory{}, err
	}
	d.Leaders = slices.DeleteFunc(d.Leaders, func(e directoryEntry) bool {
		_, err := netip.ParseAddrPort(e.Address)
		return err != nil
	})
	return d, nil
}

// addressesFor returns the leaders of a data centre, or all if there are none.
func (d directory) addressesFor(dataCentre string) []string {
	var own, all []string
	for _, e := range d.Leaders {
		all = append(all, e.Address)
		if e.DataCentre == dataCentre {
			own = append(own, e.Address)
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

// applyDirectory reads the directory if it is among the changed items. A leader,
// or an instance without a reachable member, contacts all addresses in it: this
// joins parts of a fleet that do not know each other.
func (f *Fleet) applyDirectory(changed []mirror.Item) {
	for _, it := range changed {
		if it.Key != f.opt.DirectoryKey {
			continue
		}
		f.storedDirectory = directory{}
		if it.Deleted {
			continue
		}
		d, err := decodeDirectory(it.Value)
		if err != nil {
			level.Warn(f.opt.Log).Log("msg", "directory ignored", "key", it.Key, "revision", it.Revision, "err", err)
		}
		f.storedDirectory = d
		f.storedDirectory.revision = it.Revision
		now := f.opt.Now()
		if f.table.IsLeader(now) || f.table.isolated(now) {
			f.table.AddSeeds(now, f.storedDirectory.addressesFor(""))
		}
	}
}

// handleDirectory processes the directory that was read at the start: it contacts
// the leaders of this data centre, and decides when this instance reads the store
// if none of them sends a copy.
func (f *Fleet) handleDirectory(value []byte, err error) {
	var d directory
	if err == nil {
		d, err = decodeDirectory(value)
	}
	f.opt.OnStoreCall(outcomeOf(err))
	if err != nil && !store.IsKind(err, store.NotFound) {
		level.Warn(f.opt.Log).Log("msg", "directory not read", "key", f.opt.DirectoryKey, "err", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	addresses := d.addressesFor(f.opt.Self.DataCentre)
	wait := time.Duration(0)
	if d.Live > smallFleet && !slices.Contains(addresses, f.opt.Self.Address) {
		wait = restartWait + time.Duration(f.opt.Jitter()*float64(restartJitter))
	}
	f.reader.directoryRead(now, wait)
	f.namedLeaders = addresses
	f.table.AddSeeds(now, addresses)
	select {
	case f.tickNow <- struct{}{}:
	default: // a tick is already due
	}
}

// nextDirectory returns the directory that the first hub writes, and whether it
// is due: if this instance or all leaders of a data centre are missing from the
// stored one, or the fleet's size has doubled or halved.
func (f *Fleet) nextDirectory(now time.Duration) (next directory, due bool) {
	if f.opt.DirectoryKey == "" || f.table.HubRank(now) != 0 || now-f.table.hubSince < directoryDelay {
		return directory{}, false
	}
	stored := f.storedDirectory.addressesFor("")
	due = !slices.Contains(stored, f.opt.Self.Address) || f.live > 2*f.storedDirectory.Live || 2*f.live < f.storedDirectory.Live
	next.Live = f.live
	for dc, leaders := range f.table.rolesAt(now).leaders {
		missing := true
		for _, a := range leaders {
			missing = missing && !slices.Contains(stored, a)
			next.Leaders = append(next.Leaders, directoryEntry{a, dc})
		}
		due = due || missing
	}
	slices.SortFunc(next.Leaders, func(a, b directoryEntry) int { return strings.Compare(a.Address, b.Address) })
	next.Leaders = next.Leaders[:min(len(next.Leaders), maxDirectoryLeaders)]
	return next, due
}

// writeDirectory writes the directory if that is due. A failed write is retried
// later, by this or the next first hub.
func (f *Fleet) writeDirectory(ctx context.Context) {
	f.mu.Lock()
	next, due := f.nextDirectory(f.opt.Now())
	expect := f.storedDirectory.revision
	f.mu.Unlock()
	if !due {
		return
	}
	value, err := json.Marshal(next)
	if err == nil {
		err = f.source.Write(ctx, f.opt.DirectoryKey, value, expect)
	}
	f.opt.OnStoreCall(outcomeOf(err))
	level.Info(f.opt.Log).Log("msg", "directory write completed", "revision_before", expect, "err", err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.hubSince = f.opt.Now() // delays the next write by directoryDelay
}
