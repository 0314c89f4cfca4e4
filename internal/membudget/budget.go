// Package membudget divides the memory that an instance sets aside for its callers among
// their connections, their requests and the replies to them. All share one budget, in which
// each use has a bound: what one does not take is there for the others.
package membudget

import (
	"errors"
	"sync"
)

// Use is what memory is taken for.
type Use uint8

// Uses of memory.
const (
	Connections Use = iota
	Requests
	Replies
	useCount
)

// String implements fmt.Stringer.
func (u Use) String() string { return [...]string{"connections", "requests", "replies"}[u] }

// Errors of a reservation that can't grow.
var (
	// ErrTooLarge means that the reservation alone takes more than one may.
	ErrTooLarge = errors.New("body exceeds the memory that one may take: send less, or give the instance more memory")
	// ErrExhausted means that others have taken the memory.
	ErrExhausted = errors.New("bodies and connections take all memory set aside for them: come back later, or give the instance more memory")
)

// Share is the part of a Budget that a use may take, from 0 to 1.
type Share struct {
	All float64 // by all reservations together
	One float64 // by a single one
}

// shares of the uses. Their sum is above 1, and the rest of each large enough for the
// others to go on.
var shares = [useCount]Share{
	Connections: {All: 0.7},
	Requests:    {All: 0.7, One: 0.55},
	Replies:     {All: 0.45, One: 0.07},
}

const (
	// memoryShare is the share of an instance's memory that its budget is.
	memoryShare = 0.425
	// DefaultMemory is the memory of an instance whose own is not known.
	DefaultMemory = 768 << 20 // bytes
	// SmallBytes is the size up to which a reservation may take the reserve.
	SmallBytes = 64 << 10
	// reserveShare of the budget is left to small reservations, so that large ones do not
	// make the others fail.
	reserveShare = 0.1
)

// Budget is the memory for callers. It is safe for concurrent use.
type Budget struct {
	total, reserve int64

	mu    sync.Mutex
	taken [useCount]int64 // bytes
}

// New returns the Budget of an instance with so many bytes of memory; 0 stands for
// DefaultMemory.
func New(memory int64) *Budget {
	if memory <= 0 {
		memory = DefaultMemory
	}
	total := int64(memoryShare * float64(memory))
	return &Budget{total: total, reserve: int64(reserveShare * float64(total))}
}

// Total returns the size of the budget in bytes.
func (b *Budget) Total() int64 { return b.total }

// Taken returns the bytes that a use takes now.
func (b *Budget) Taken(u Use) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken[u]
}

// Set records that a use takes n bytes, whether they fit or not.
func (b *Budget) Set(u Use, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken[u] = n
}

// Fits reports whether n more bytes of a use fit now.
func (b *Budget) Fits(u Use, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fits(u, n)
}

func (b *Budget) fits(u Use, n int64) bool {
	return b.taken[u]+n <= b.most(u) && b.free() >= n
}

func (b *Budget) most(u Use) int64 { return int64(shares[u].All * float64(b.total)) }

func (b *Budget) free() int64 {
	free := b.total
	for _, n := range b.taken {
		free -= n
	}
	return free
}

// Begin returns an empty reservation of at most limit bytes; 0 stands for what a single one
// of this use may take.
func (b *Budget) Begin(u Use, limit int64) Reservation {
	largest := int64(shares[u].One * float64(b.total))
	if limit == 0 || limit > largest {
		limit = largest
	}
	return Reservation{budget: b, use: u, limit: limit}
}

// Reservation is the memory that one body takes.
type Reservation struct {
	budget *Budget
	use    Use
	limit  int64
	taken  int64 // guarded by budget.mu
}

// Limit returns the most bytes that the reservation may take.
func (r *Reservation) Limit() int64 { return r.limit }

// GrowTo raises the reservation to n bytes. It returns ErrTooLarge or ErrExhausted, and
// leaves the reservation as it was, if that can't be.
func (r *Reservation) GrowTo(n int64) error {
	if n > r.limit {
		return ErrTooLarge
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	more := n - r.taken
	if !b.fits(r.use, more) || n > SmallBytes && b.free()-more < b.reserve {
		return ErrExhausted
	}
	b.taken[r.use] += more
	r.taken = n
	return nil
}

// Close returns the memory. It implements io.Closer, so that the end of a caller's request
// can release it.
func (r *Reservation) Close() error {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.taken[r.use] -= r.taken
	r.taken = 0
	return nil
}
