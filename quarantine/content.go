// Package quarantine decides which requests are kept from the upstreams because
// those that run them crash ("queries of death"). It does no I/O and reads no
// clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Content identifies what a request asks for, whichever of its attempts it is
// and whichever instance receives it. It is a digest, so that nobody can craft a
// request that is taken for another caller's.
type Content [16]byte

// NewContent returns the Content of a request that consists of the given fields.
func NewContent(fields ...[]byte) Content {
	h := sha256.New()
	var size [8]byte
	for _, f := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(f)))
		h.Write(size[:])
		h.Write(f)
	}
	return Content(h.Sum(nil)[:len(Content{})])
}

// String returns the Content in hexadecimal.
func (c Content) String() string { return hex.EncodeToString(c[:]) }

// MarshalText implements encoding.TextMarshaler.
func (c Content) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Content) UnmarshalText(text []byte) error {
	p, err := hex.DecodeString(string(text))
	if err != nil || len(p) != len(c) {
		return fmt.Errorf("content %q is not %d hexadecimal digits", text, 2*len(c))
	}
	copy(c[:], p)
	return nil
}
