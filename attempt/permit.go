package attempt

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
)

// Permit allows keyed calls (calls with a Catkin-Key) to run at one incarnation
// of one entry, the permit's home. The calls run only through the home, since the
// Record that keeps them from running twice is held there.
type Permit struct {
	// KeyID is the ID of the config.PermitKey that signed the permit.
	KeyID string
	// Home is the ID of the entry that may run the calls.
	Home string
	// Address is the home's data address, IP and port.
	Address string
	// Incarnation identifies one run of the home's process.
	Incarnation uint64
	// Expires is the expiry as an uptime of the home's incarnation: only the
	// home compares it, with its own monotonic clock.
	Expires time.Duration
	// Nonce makes the permit of each lookup unique, so that two callers that
	// choose the same name do not share a key.
	Nonce uint64
}

// Limits of permits and keys.
const (
	// MaxLifetime is the longest time until a permit's expiry that a home
	// accepts. It is not configurable, since a home must judge permits issued
	// earlier by the same limit.
	MaxLifetime = time.Hour
	// MaxKeyBytes is the longest Catkin-Key, in bytes.
	MaxKeyBytes = 512
	// MaxNameBytes is the longest name in a Catkin-Key, in bytes. The caller
	// chooses the name.
	MaxNameBytes = 128
	// MaxTokenBytes is the longest encoded permit, in bytes.
	MaxTokenBytes = MaxKeyBytes - MaxNameBytes - 1
	// maxFieldBytes is the longest ID or address in a permit, in bytes.
	maxFieldBytes = 64

	permitVersion = 1
	macBytes      = 16            // bytes kept of the HMAC-SHA256
	fixedBytes    = 1 + 8 + 8 + 8 // bytes of the version, Incarnation, Expires and Nonce
)

// PermitError is the error of a permit that is not accepted. Its text names the
// remedy.
type PermitError struct {
	Reason Reason
}

// Error returns the reason and its remedy.
func (e *PermitError) Error() string { return string(e.Reason) + ": " + e.Reason.Remedy() }

// Outcome returns the outcome of a call with such a permit. Only a token that no
// entry of any version accepts gives NotRun: with the others, an earlier try of
// the call may have run.
func (e *PermitError) Outcome() Outcome {
	if e.Reason == ReasonMalformedKey {
		return NotRun
	}
	return Unknown
}

var (
	errMalformed     = &PermitError{ReasonMalformedKey}
	errVersion       = &PermitError{ReasonPermitVersion}
	errUnknownSigner = &PermitError{ReasonPermitSigner}
	errSignature     = &PermitError{ReasonPermitSignature}
)

// Signer signs and verifies permits (HMAC-SHA256, RFC 2104, truncated to 128
// bits). It is immutable and safe for concurrent use.
type Signer struct {
	keys []config.PermitKey
}

// NewSigner returns a Signer that signs with the first key and verifies with all
// of them.
func NewSigner(keys []config.PermitKey) *Signer { return &Signer{keys: keys} }

// Sign returns p as a token whose KeyID is that of the signing key. It returns
// "" if there is no key, or if the key's ID, Home or Address is too long.
func (s *Signer) Sign(p Permit) string {
	if len(s.keys) == 0 {
		return ""
	}
	k := &s.keys[0]
	if len(k.ID) > maxFieldBytes || len(p.Home) > maxFieldBytes || len(p.Address) > maxFieldBytes {
		return ""
	}
	b := make([]byte, 0, fixedBytes+3*(1+maxFieldBytes)+macBytes)
	b = append(b, permitVersion)
	b = appendField(b, k.ID)
	b = appendField(b, p.Home)
	b = appendField(b, p.Address)
	b = binary.BigEndian.AppendUint64(b, p.Incarnation)
	b = binary.BigEndian.AppendUint64(b, uint64(p.Expires))
	b = binary.BigEndian.AppendUint64(b, p.Nonce)
	b = appendMAC(b, k.Secret)
	return base64.RawURLEncoding.EncodeToString(b)
}

// appendField appends s with a length prefix of one byte.
func appendField(b []byte, s string) []byte {
	b = append(b, byte(len(s)))
	return append(b, s...)
}

// appendMAC appends the truncated HMAC of b.
func appendMAC(b, secret []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(b)
	var sum [sha256.Size]byte
	return append(b, h.Sum(sum[:0])[:macBytes]...)
}

// Parse decodes and verifies a token. Its error is a *PermitError.
func (s *Signer) Parse(token string) (Permit, error) {
	if len(token) == 0 || len(token) > MaxTokenBytes || strings.ContainsAny(token, "\r\n") {
		return Permit{}, errMalformed
	}
	var buf [MaxTokenBytes]byte
	n, err := base64.RawURLEncoding.Strict().Decode(buf[:], []byte(token))
	if err != nil || n == 0 {
		return Permit{}, errMalformed
	}
	b := buf[:n]
	if b[0] != permitVersion {
		return Permit{}, errVersion
	}
	if n < fixedBytes+macBytes {
		return Permit{}, errMalformed
	}
	p, ok := decode(b[1 : n-macBytes])
	if !ok {
		return Permit{}, errMalformed
	}
	return p, s.verify(p.KeyID, b)
}

// verify checks the MAC at the end of b with the key that has the ID id.
func (s *Signer) verify(id string, b []byte) error {
	body, mac := b[:len(b)-macBytes], b[len(b)-macBytes:]
	for i := range s.keys {
		if s.keys[i].ID != id {
			continue
		}
		sum := appendMAC(body[:len(body):len(body)], s.keys[i].Secret)
		if hmac.Equal(sum[len(body):], mac) {
			return nil
		}
		return errSignature
	}
	return errUnknownSigner
}

// decode reads the fields of a permit between its version and its MAC.
func decode(b []byte) (p Permit, ok bool) {
	if p.KeyID, b, ok = cutField(b); !ok {
		return p, false
	}
	if p.Home, b, ok = cutField(b); !ok {
		return p, false
	}
	if p.Address, b, ok = cutField(b); !ok {
		return p, false
	}
	if len(b) != fixedBytes-1 {
		return p, false
	}
	p.Incarnation = binary.BigEndian.Uint64(b)
	p.Expires = time.Duration(binary.BigEndian.Uint64(b[8:]))
	p.Nonce = binary.BigEndian.Uint64(b[16:])
	return p, true
}

// cutField reads a string that appendField wrote, and returns the rest of b.
func cutField(b []byte) (field string, rest []byte, ok bool) {
	if len(b) == 0 {
		return "", nil, false
	}
	n := int(b[0])
	if n > maxFieldBytes || len(b) < 1+n {
		return "", nil, false
	}
	return string(b[1 : 1+n]), b[1+n:], true
}

// SplitKey splits a Catkin-Key, "<token>/<name>", into the permit's token and
// the name that the caller chose. It returns false for a key that no entry
// accepts.
func SplitKey(key string) (token, name string, ok bool) {
	token, name, ok = strings.Cut(key, "/")
	if !ok || token == "" || len(token) > MaxTokenBytes || name == "" || len(name) > MaxNameBytes {
		return "", "", false
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return "", "", false
		}
	}
	return token, name, true
}

// ParseKey decodes and verifies the permit in a Catkin-Key. Its error is a
// *PermitError.
func (s *Signer) ParseKey(key string) (Permit, error) {
	token, _, ok := SplitKey(key)
	if !ok {
		return Permit{}, errMalformed
	}
	return s.Parse(token)
}
