package agent

import (
	"time"

	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/membership"
)

// Action is something for a Node's owner to do: one of the types below.
type Action interface{ action() }

// Exchange asks to send Message to the peer at Address, and to report
// Exchanged.
type Exchange struct {
	Address string
	Message membership.Message
}

// Fetch asks the peer at Address for a part of its configuration, and to
// report Fetched.
type Fetch struct {
	Address string
	Request PartRequest
}

// ReadStore asks to read the head from the platform's store, and to report
// StoreRead.
type ReadStore struct{}

// WatchStore asks to wait until the head's key has a store revision above
// After, or for at most Wait, and to report StoreWatched.
type WatchStore struct {
	After int64
	Wait  time.Duration
}

// ListInstances asks for the platform's list, and to report Listed.
type ListInstances struct{}

// SyncEntry asks to call the entry with State, and to report Synced.
type SyncEntry struct {
	State link.State
}

// Exit asks to end the process: the planned stop is over.
type Exit struct{}

func (Exchange) action()      {}
func (Fetch) action()         {}
func (ReadStore) action()     {}
func (WatchStore) action()    {}
func (ListInstances) action() {}
func (SyncEntry) action()     {}
func (Exit) action()          {}
