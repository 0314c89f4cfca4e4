// Package store says what the product needs of a platform's key-value store and
// list of instances, and of which kinds their faults are. Package platform has
// the client of the store.
package store

import "context"

// MaxValue is the greatest size of a stored value, in bytes.
const MaxValue = 1 << 20

// Value is a stored value with the store revision that wrote it. The store's
// revision rises with every write to any key.
type Value struct {
	Data     []byte
	Revision int64
	// Lease is the lease that the key belongs to; 0 for none.
	Lease int64
}

// Store is the platform's key-value service. Errors are *Error, with a Kind
// that tells whether a write may have taken effect.
type Store interface {
	// Get returns the value of key. A missing key has kind NotFound.
	Get(ctx context.Context, key string) (Value, error)
	// Put writes data if the key's revision equals expect; 0 expects that
	// the key does not exist. It returns the new revision. A lease other
	// than 0 removes the key when it ends.
	Put(ctx context.Context, key string, data []byte, expect, lease int64) (int64, error)
	// Delete removes the key if its revision equals expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Keys lists the keys below a prefix.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// Grant starts a lease that ends after ttlMillis without KeepAlive.
	Grant(ctx context.Context, ttlMillis int64) (int64, error)
	// KeepAlive extends a lease by its whole ttl.
	KeepAlive(ctx context.Context, lease int64) error
	// Watch blocks until key has a revision above after. Where none comes
	// before ctx ends, the kind is Unchanged or Unavailable.
	Watch(ctx context.Context, key string, after int64) (Value, error)
}

// Instance is an entry of the platform's list, which lags.
type Instance struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // agent's peer address, IP and port
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Leaving    bool   `json:"leaving"`
}

// List is the platform's list of instances.
type List interface {
	Instances(ctx context.Context) ([]Instance, error)
}
