package store

import (
	"errors"
	"fmt"
)

// Kind classifies a fault of the platform.
type Kind uint8

// Kinds of faults.
const (
	// NotFound: the key or lease does not exist.
	NotFound Kind = iota + 1
	// Conflict: the key's revision was not the one expected.
	Conflict
	// Unavailable: the platform did not take the call; nothing was written.
	Unavailable
	// Indefinite: no answer came; a write may have taken effect.
	Indefinite
	// Invalid: the platform refused the call as malformed.
	Invalid
	// Unchanged: a watch ended without a newer value.
	Unchanged
)

// String returns the kind's name, as counters use it.
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

// Error is a fault of the platform.
type Error struct {
	Kind Kind
	Op   string
	Key  string
	Err  error
}

// Error names the call, the fault and the remedy.
func (e *Error) Error() string {
	msg := fmt.Sprintf("platform %s %s: %s", e.Op, e.Key, e.Kind.remedy())
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

// Unwrap returns the underlying fault.
func (e *Error) Unwrap() error { return e.Err }

func (k Kind) remedy() string {
	switch k {
	case NotFound:
		return "not found, create it first"
	case Conflict:
		return "changed meanwhile, read it again"
	case Unavailable:
		return "platform unavailable, try again later"
	case Indefinite:
		return "no answer, read back before trying again"
	case Unchanged:
		return "nothing newer, watch again"
	}
	return "call refused, correct it"
}

// IsKind tells whether err is an *Error of kind k.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
