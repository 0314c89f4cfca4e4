// Package quarantine decides which requests are kept from the upstreams because
// those that run them crash ("queries of death"). It does no I/O and reads no
// clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
)

// Content identifies what a request asks for, whichever of its attempts it is
// and whichever instance receives it. It is a digest, so that nobody can craft a
// request that is taken for another caller's.
type Content [16]byte

// NewContent returns the Content of a request that consists of the given fields.
func NewContent(fields ...[]byte) Content {
	h := sha256.New()
	for _, f := range fields {
		hashField(h, f)
	}
	return Content(h.Sum(nil)[:len(Content{})])
}

// NewContentWithBody is NewContent with a last field that is given in segments.
func NewContentWithBody(segments [][]byte, fields ...[]byte) Content {
	h := sha256.New()
	for _, f := range fields {
		hashField(h, f)
	}
	hashField(h, segments...)
	return Content(h.Sum(nil)[:len(Content{})])
}

// hashField adds the length and the bytes of a field, given in segments.
func hashField(h hash.Hash, segments ...[]byte) {
	total := 0
	for _, s := range segments {
		total += len(s)
	}
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(total))
	h.Write(size[:])
	for _, s := range segments {
		h.Write(s)
	}
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
