package fleet

import "time"

// carriers returns the peers that bring this instance the store's changes: the
// leaders to a member, the hubs to a leader. A hub has none.
func (t *Table) carriers(now time.Duration) []string {
	switch {
	case t.HubRank(now) >= 0:
		return nil
	case t.IsLeader(now):
		return t.Hubs(now)
	}
	return t.Leaders(now)
}

// carriersLackStore reports whether all carriers said in their last heartbeat that
// the store does not answer them.
func (t *Table) carriersLackStore(now time.Duration) bool {
	carriers := t.carriers(now)
	for _, a := range carriers {
		if m := t.members[a]; m == nil || !m.lacksStore {
			return false
		}
	}
	return len(carriers) > 0
}

// setLacksStore records whether a member said that the store does not answer it.
func (t *Table) setLacksStore(address string, lacks bool) {
	if m := t.members[address]; m != nil {
		m.lacksStore = lacks
	}
}

// lacksStore reports whether the store most likely answers no instance: this
// instance's last read failed, or the copy was not confirmed for a while and those
// that confirm it say the same. The copy's age ends the latter when two instances
// take each other for a carrier.
func (f *Fleet) lacksStore(now time.Duration) bool {
	if f.reader.failing() {
		return true
	}
	return f.reader.age(now) >= f.opt.MaxCopyAge/2 && f.table.carriersLackStore(now)
}

// tellLacksStore sends heartbeats to those that rely on this instance if it has
// come to lack the store, so that they do not all try to read it themselves.
func (f *Fleet) tellLacksStore(now time.Duration, before bool) {
	if !before && f.lacksStore(now) {
		f.sendHeartbeats(f.table.receivers(now), 0)
	}
}
