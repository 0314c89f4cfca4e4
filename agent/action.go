package agent

import (
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/membership"
)

// Action is an I/O operation that a Node requests from the code that drives it:
// one of the types below.
type Action interface{ action() }

// Exchange sends Message to the peer at Address. The result goes to
// Node.ExchangeDone.
type Exchange struct {
	Address string
	Message membership.Message
}

// Fetch requests a part of the configuration from the peer at Address. The
// result goes to Node.FetchDone.
type Fetch struct {
	Address string
	Request PartRequest
}

// ReadStore reads the configuration head from the platform's store. The result
// goes to Node.StoreReadDone.
type ReadStore struct{}

// WatchStore waits until the store revision of the head's key is above After,
// for at most Wait. The result goes to Node.StoreWatchDone.
type WatchStore struct {
	After int64
	Wait  time.Duration
}

// RestoreHead writes Head, which the store has lost, back to it if the store revision
// of the head's key is still Expect. It has no result: the next read shows it.
type RestoreHead struct {
	Head   config.Head
	Expect int64
}

// ListInstances reads the platform's instance list. The result goes to
// Node.ListDone.
type ListInstances struct{}

// SyncEntry sends State to the entry. The result goes to Node.EntrySyncDone.
type SyncEntry struct {
	State link.State
}

// Exit ends the process: the planned stop is complete.
type Exit struct{}

func (Exchange) action()      {}
func (Fetch) action()         {}
func (ReadStore) action()     {}
func (WatchStore) action()    {}
func (RestoreHead) action()   {}
func (ListInstances) action() {}
func (SyncEntry) action()     {}
func (Exit) action()          {}
