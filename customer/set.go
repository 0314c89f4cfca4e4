package customer

import (
	"crypto/rand"
	"crypto/sha256"
)

// MaxKeyBytes is the length of the longest key that can be known.
const MaxKeyBytes = 256

// digestPrefix is hashed before each key, so that the time of a map lookup tells nothing
// of the keys to a caller who can choose what is looked up.
var digestPrefix = func() (p [sha256.Size]byte) {
	// Read never fails: the runtime ends the process if there is no randomness.
	_, _ = rand.Read(p[:])
	return p
}()

// digest is the hash of a key.
type digest [sha256.Size]byte

// digestOf returns the digest of a key of at most MaxKeyBytes.
func digestOf(key []byte) digest {
	var buf [sha256.Size + MaxKeyBytes]byte
	n := copy(buf[:], digestPrefix[:])
	n += copy(buf[n:], key)
	return sha256.Sum256(buf[:n])
}

// Set is the customers of one configuration, with digests of their keys. It is immutable
// once it is in use.
type Set struct {
	byName map[string]*Customer
	byKey  map[digest]*Customer
	// shared holds the digests of keys that several customers hold: such a key is known,
	// but does not tell a customer.
	shared map[digest]bool
}

// NewSet returns a Set without customers.
func NewSet() *Set {
	return &Set{byName: map[string]*Customer{}, byKey: map[digest]*Customer{}, shared: map[digest]bool{}}
}

// Add adds a customer and returns false if there is one of that name.
func (s *Set) Add(c Customer) bool {
	if s.byName[c.Name] != nil {
		return false
	}
	s.byName[c.Name] = &c
	return true
}

// AddKey adds a key of the customer with the given name. It returns the name of another
// customer that holds the same key, which then belongs to neither, and false if the key
// is empty or too long.
func (s *Set) AddKey(name, key string) (otherHolder string, ok bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return "", false
	}
	d := digestOf([]byte(key))
	holder := s.byKey[d]
	switch {
	case holder == nil:
		s.byKey[d] = s.byName[name]
	case holder.Name != name:
		s.shared[d] = true
		return holder.Name, true
	}
	return "", true
}

// Lookup returns the customer that alone holds the key, or nil. It does not allocate.
func (s *Set) Lookup(key []byte) *Customer {
	if len(key) == 0 || len(key) > MaxKeyBytes {
		return nil
	}
	d := digestOf(key)
	if s.shared[d] {
		return nil
	}
	return s.byKey[d]
}

// ByName returns the customer with the given name, or nil.
func (s *Set) ByName(name string) *Customer { return s.byName[name] }

// Len returns the number of customers.
func (s *Set) Len() int { return len(s.byName) }

// Names returns the names of all customers, in no order.
func (s *Set) Names() []string {
	out := make([]string, 0, len(s.byName))
	for name := range s.byName {
		out = append(out, name)
	}
	return out
}

// Priorities returns the priorities of customers that replace those of the routes. s may be
// nil.
func (s *Set) Priorities() map[int]bool {
	out := map[int]bool{}
	if s == nil {
		return out
	}
	for _, c := range s.byName {
		if c.HasPriority {
			out[c.Priority] = true
		}
	}
	return out
}
