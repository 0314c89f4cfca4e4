package agent

import (
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
)

// What waited for an agent that stood still told it, and through it the fleet, that the store had
// just been read, and put off the next read.
func TestOldMessagesTellOfNoNewRead(t *testing.T) {
	const (
		readAt = time.Second
		wakes  = 11 * time.Second
	)
	for what, deliver := range map[string]func(n *Node, m func() *message){
		"request": func(n *Node, m func() *message) {
			if _, _, err := n.HandleExchange(wakes, m()); err != nil {
				t.Fatal(err)
			}
		},
		"reply": func(n *Node, m func() *message) { n.ExchangeDone(wakes, m().Address.String(), m()) },
		"watch": func(n *Node, _ func() *message) {
			n.StoreWatchDone(wakes, config.NewHead(2, []byte(`{}`)), 3, true, nil)
		},
	} {
		peer := NewNode(Options{ID: "b", DataCentre: "ibarra", Region: "sierra-norte", PeerAddress: "127.0.0.2:9000", EntryAddress: "127.0.0.2:80", Incarnation: 1})
		peer.StoreReadDone(readAt, readAt, config.NewHead(1, []byte(`{}`)), 2, nil)
		message := func() *message {
			m := peer.completeMessage(readAt, peer.table.Request(readAt, "127.0.0.1:9000"))
			return &m
		}
		n := NewNode(Options{ID: "a", DataCentre: "ibarra", Region: "sierra-norte", PeerAddress: "127.0.0.1:9000", EntryAddress: "127.0.0.1:80", Incarnation: 1})
		n.Tick(readAt)
		deliver(n, message)
		if at := n.scheduler.lastRead; at > readAt {
			t.Errorf("%s from before a standstill until %v: the store counts as read at %v", what, wakes, at)
		}
		n.Tick(wakes)
		later := wakes + 3*time.Second
		for now := wakes; now <= later; now += TickInterval {
			n.Tick(now)
		}
		m := peer.completeMessage(readAt, peer.table.Request(readAt, "127.0.0.1:9000"))
		if _, _, err := n.HandleExchange(later, &m); err != nil {
			t.Fatal(err)
		}
		if at := n.scheduler.lastRead; at < later-time.Second {
			t.Errorf("%s: a message %v after the standstill tells of a read at %v", what, later-wakes, at)
		}
	}
}

// Agents that told each other of the last read of the store left out the time on the way, again
// and again: after a minute without the store they took it for read 48 s ago.
func TestReadDoesNotGetYounger(t *testing.T) {
	f := newFleet(12, 1)
	f.delay = 60 * time.Millisecond
	f.advance(20 * time.Second)
	f.storePartitioned = func(*host) bool { return true }
	f.advance(2 * f.delay) // calls that were under way
	away := f.Now
	for range 12 {
		f.advance(5 * time.Second)
		for _, h := range f.hosts {
			if age, least := h.now()-h.node.scheduler.lastRead, f.Now-away-2*sameRead; age < least {
				t.Fatalf("%s: the store, away for %v, counts as read %v ago", h.id, f.Now-away, age)
			}
		}
	}
}
