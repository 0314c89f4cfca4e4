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

// Permit allows keyed calls to run at one incarnation of one entry, its home.
type Permit struct {
	// KeyID names the config.PermitKey that signed the permit.
	KeyID string
	// Home is the ID of the entry that may run the calls.
	Home string
	// Address is the home's data address, IP and port.
	Address string
	// Incarnation identifies the one run of the home's process.
	Incarnation uint64
	// Expires is an uptime of the home's incarnation: only the home's own
	// monotonic clock judges it.
	Expires time.Duration
	// Nonce keeps the permits of two lookups apart, so that two callers who
	// choose the same name do not share a key.
	Nonce uint64
}

// Limits of a permit's parts.
const (
	// MaxLifetime is the longest time that a home accepts until a permit's
	// expiry. It is no setting: homes must agree with their own past.
	MaxLifetime = time.Hour
	// MaxKey is the longest Catkin-Key, in bytes.
	MaxKey = 512
	// MaxName is the longest caller's part of a Catkin-Key, in bytes.
	MaxName = 128
	// MaxToken is the longest permit in text, in bytes.
	MaxToken = MaxKey - MaxName - 1
	// maxPart is the longest ID or address in a permit, in bytes.
	maxPart = 64

	permitVersion = 1
	macSize       = 16 // bytes of the HMAC-SHA256 that a token carries
	fixedSize     = 1 + 8 + 8 + 8
)

// PermitError tells why a permit cannot be taken. Its text names the remedy.
type PermitError struct {
	Reason Reason
}

// Error returns the reason and its remedy.
func (e *PermitError) Error() string { return string(e.Reason) + ": " + e.Reason.Remedy() }

// Outcome is what a call under such a permit is told. Only a token that no
// entry of any version accepts is NotRun: under the others an earlier try may
// have run.
func (e *PermitError) Outcome() Outcome {
	if e.Reason == ReasonMalformedKey {
		return NotRun
	}
	return Unknown
}

var (
	errMalformed = &PermitError{ReasonMalformedKey}
	errVersion   = &PermitError{ReasonPermitVersion}
	errSigner    = &PermitError{ReasonPermitSigner}
	errSignature = &PermitError{ReasonPermitSignature}
)

// Signer signs and verifies permits (HMAC-SHA256, RFC 2104, cut to 128 bits).
// It is immutable and safe for concurrent use.
type Signer struct {
	keys []config.PermitKey
}

// NewSigner returns a Signer; the first key signs, all verify.
func NewSigner(keys []config.PermitKey) *Signer { return &Signer{keys: keys} }

// Sign returns p as text, or "" without a key or with a part that is too
// long. It sets the permit's KeyID to the signing key's.
func (s *Signer) Sign(p Permit) string {
	if len(s.keys) == 0 {
		return ""
	}
	k := &s.keys[0]
	if len(k.ID) > maxPart || len(p.Home) > maxPart || len(p.Address) > maxPart {
		return ""
	}
	b := make([]byte, 0, fixedSize+3*(1+maxPart)+macSize)
	b = append(b, permitVersion)
	b = appendPart(b, k.ID)
	b = appendPart(b, p.Home)
	b = appendPart(b, p.Address)
	b = binary.BigEndian.AppendUint64(b, p.Incarnation)
	b = binary.BigEndian.AppendUint64(b, uint64(p.Expires))
	b = binary.BigEndian.AppendUint64(b, p.Nonce)
	b = appendMAC(b, k.Secret)
	return base64.RawURLEncoding.EncodeToString(b)
}

func appendPart(b []byte, s string) []byte {
	b = append(b, byte(len(s)))
	return append(b, s...)
}

func appendMAC(b, secret []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(b)
	var sum [sha256.Size]byte
	return append(b, h.Sum(sum[:0])[:macSize]...)
}

// Parse reads and verifies a permit. Its error is a *PermitError.
func (s *Signer) Parse(token string) (Permit, error) {
	if len(token) == 0 || len(token) > MaxToken || strings.ContainsAny(token, "\r\n") {
		return Permit{}, errMalformed
	}
	var buf [MaxToken]byte
	n, err := base64.RawURLEncoding.Strict().Decode(buf[:], []byte(token))
	if err != nil || n == 0 {
		return Permit{}, errMalformed
	}
	b := buf[:n]
	if b[0] != permitVersion {
		return Permit{}, errVersion
	}
	if n < fixedSize+macSize {
		return Permit{}, errMalformed
	}
	p, ok := decode(b[1 : n-macSize])
	if !ok {
		return Permit{}, errMalformed
	}
	return p, s.verify(p.KeyID, b)
}

// verify checks the MAC at the end of b against the key named id.
func (s *Signer) verify(id string, b []byte) error {
	body, mac := b[:len(b)-macSize], b[len(b)-macSize:]
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
	return errSigner
}

// decode reads the parts of a permit that follow its version.
func decode(b []byte) (p Permit, ok bool) {
	if p.KeyID, b, ok = cutPart(b); !ok {
		return p, false
	}
	if p.Home, b, ok = cutPart(b); !ok {
		return p, false
	}
	if p.Address, b, ok = cutPart(b); !ok {
		return p, false
	}
	if len(b) != fixedSize-1 {
		return p, false
	}
	p.Incarnation = binary.BigEndian.Uint64(b)
	p.Expires = time.Duration(binary.BigEndian.Uint64(b[8:]))
	p.Nonce = binary.BigEndian.Uint64(b[16:])
	return p, true
}

func cutPart(b []byte) (part string, rest []byte, ok bool) {
	if len(b) == 0 {
		return "", nil, false
	}
	n := int(b[0])
	if n > maxPart || len(b) < 1+n {
		return "", nil, false
	}
	return string(b[1 : 1+n]), b[1+n:], true
}

// SplitKey cuts a Catkin-Key into the permit's token and the caller's name.
// It returns false for a key that no entry accepts.
func SplitKey(key string) (token, name string, ok bool) {
	token, name, ok = strings.Cut(key, "/")
	if !ok || token == "" || len(token) > MaxToken || name == "" || len(name) > MaxName {
		return "", "", false
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return "", "", false
		}
	}
	return token, name, true
}

// ParseKey verifies the permit of a Catkin-Key. Its error is a *PermitError.
func (s *Signer) ParseKey(key string) (Permit, error) {
	token, _, ok := SplitKey(key)
	if !ok {
		return Permit{}, errMalformed
	}
	return s.Parse(token)
}
