package store

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors.
const (
	// NotFound means that the key or lease does not exist.
	NotFound Kind = iota + 1
	// Conflict means that the key's revision differs from the expected one.
	Conflict
	// Unavailable means that the platform did not accept the call, or that a
	// read got no usable response; nothing was written.
	Unavailable
	// Indefinite means that a write got no response, or none that can be
	// relied on; it may have taken effect.
	Indefinite
	// Invalid means that the platform rejected the call, or that the call or
	// its response is invalid.
	Invalid
	// Unchanged means that a watch ended without a newer value.
	Unchanged
)

// String returns the name of the kind, which the names of counters contain.
func (k Kind) String() string {
	switch k {
	case NotFound:
		return "not-found"
	case Conflict:
		return "conflict"
	case Unavailable:
		return "unavailable"
	case Indefinite:
		return "indefinite"
	case Unchanged:
		return "unchanged"
	}
	return "invalid"
}

// Error is an error of a call to the platform.
type Error struct {
	Kind Kind
	Op   string // name of the call
	Key  string
	Err  error
}

// Error names the call, the kind of error and the remedy.
func (e *Error) Error() string {
	msg := fmt.Sprintf("platform %s %s: %s", e.Op, e.Key, e.Kind.remedy())
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

func (k Kind) remedy() string {
	switch k {
	case NotFound:
		return "not found, create it first"
	case Conflict:
		return "changed by another writer, read it again"
	case Unavailable:
		return "platform unavailable, try again later"
	case Indefinite:
		return "no response, read the key before trying again"
	case Unchanged:
		return "nothing newer, watch again"
	}
	return "call or response invalid, correct the call"
}

// IsKind reports whether err wraps an *Error of kind k.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
