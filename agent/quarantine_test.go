package agent

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/membership"
	"github.com/catkinrouter/catkinrouter/quarantine"
)

// decision returns a decision about the n-th call.
func decision(n int, sequence uint32) (e quarantine.Entry) {
	binary.BigEndian.PutUint64(e.Content[:], uint64(n))
	e.Sequence = sequence
	return e
}

// Decisions reach the peers in bounded messages, each some times, and a newer one replaces
// the older one.
func TestDecisionsAreSentToPeers(t *testing.T) {
	a, b := sharedQuarantine{}, sharedQuarantine{}
	for n := range 2 * quarantine.MaxEntries {
		a.add(0, []quarantine.Entry{decision(n, 1)})
	}
	if n := len(a.list(0)); n != quarantine.MaxEntries {
		t.Errorf("%d decisions kept, want %d", n, quarantine.MaxEntries)
	}
	messages := 0
	for {
		batch := a.nextBatch(0)
		if len(batch) == 0 {
			break
		}
		if messages++; len(batch) > membership.MaxQuarantined {
			t.Fatalf("%d decisions in a message", len(batch))
		}
		b.add(0, batch)
	}
	if want := quarantine.MaxEntries * promptSends / membership.MaxQuarantined; messages != want {
		t.Errorf("%d messages, want %d", messages, want)
	}
	if quarantine.Missing(a.list(0), b.list(0)) {
		t.Error("a decision did not arrive")
	}
	if !b.add(0, []quarantine.Entry{decision(3, 2)}) || b.add(0, []quarantine.Entry{decision(3, 1)}) || len(b.nextBatch(0)) == 0 {
		t.Error("a newer decision is not passed on, or an older one is taken")
	}
	if len(b.list(quarantineTTL)) > 0 {
		t.Error("never forgotten")
	}
}

// Decisions must reach the entries of all agents, also of one that starts later, and an
// entry that restarts must get them back.
func TestDecisionsReachOtherEntries(t *testing.T) {
	f := newFleet(5, 1)
	late := f.hosts[4]
	late.kill()
	f.advance(5 * time.Second)
	f.hosts[0].entry.quarantined = []quarantine.Entry{decision(1, 1)}
	knownAt := func(hosts ...*host) func() bool {
		return func() bool {
			return !slices.ContainsFunc(hosts, func(h *host) bool { return len(h.entry.quarantined) != 1 })
		}
	}
	if took, ok := f.advanceUntil(5*time.Second, knownAt(f.hosts[:4]...)); !ok {
		t.Errorf("not at all entries after %v", took)
	}
	f.advance(20 * time.Second)
	late.start()
	if took, ok := f.advanceUntil(10*time.Second, knownAt(late)); !ok {
		t.Errorf("not at the entry of the agent that started late after %v", took)
	}
	f.hosts[1].entry.quarantined = nil // as after a restart
	if took, ok := f.advanceUntil(3*time.Second, knownAt(f.hosts[1])); !ok {
		t.Errorf("not at the restarted entry after %v", took)
	}
}
