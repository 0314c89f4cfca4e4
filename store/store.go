// Package store defines the interfaces to the platform's key-value store and to
// its list of instances, and the kinds of their errors. Package platform
// implements the client of the key-value store; ListClient reads the list.
package store

import "context"

// MaxValueBytes is the maximum size of a stored value, in bytes.
const MaxValueBytes = 1 << 20

// Value is a stored value with the store revision of its last write. The
// revision of the store rises with every write to any key.
type Value struct {
	Data     []byte
	Revision int64
	// Lease is the lease that the key is attached to; 0 for none.
	Lease int64
}

// Store is the platform's key-value store. Errors are *Error; the Kind states
// whether a write may have taken effect.
type Store interface {
	// Get returns the value of key. The error of a missing key has kind
	// NotFound.
	Get(ctx context.Context, key string) (Value, error)
	// Put writes data if the key's revision equals expect; an expect of 0
	// requires that the key does not exist. It returns the new revision.
	// If lease is not 0, the key is removed when the lease ends.
	Put(ctx context.Context, key string, data []byte, expect, lease int64) (int64, error)
	// Delete removes the key if its revision equals expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Keys lists the keys with a prefix.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// Grant starts a lease that ends if KeepAlive is not called for
	// ttlMillis. It returns the ID of the lease.
	Grant(ctx context.Context, ttlMillis int64) (int64, error)
	// KeepAlive restarts the TTL of a lease.
	KeepAlive(ctx context.Context, lease int64) error
	// Watch blocks until key has a revision above after, and returns its
	// value. If ctx ends first, the error has kind Unchanged or
	// Unavailable.
	Watch(ctx context.Context, key string, after int64) (Value, error)
}

// Instance is an entry of the platform's list. The list lags behind the
// instances that run.
type Instance struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // peer address of the agent, IP and port
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Leaving    bool   `json:"leaving"`
}

// List reads the platform's list of instances.
type List interface {
	// Instances returns the entries that are instances, and an error for each other one.
	Instances(ctx context.Context) ([]Instance, []*MalformedInstance, error)
}
