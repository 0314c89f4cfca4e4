package agent

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
)

// errNoConfiguration is answered to a PartRequest by an agent without one.
var errNoConfiguration = errors.New("agent: no configuration held: ask another instance")

// PartRequest asks a peer for a part of the configuration that it holds.
type PartRequest struct {
	// Revision is the one whose parts are being gathered.
	Revision uint64
	// Offset is the number of bytes already held.
	Offset int
}

// Part is a part of a compressed Head.
type Part struct {
	// Revision is the one that the peer holds; where it differs from the
	// one asked for, Data begins at offset 0.
	Revision uint64
	Total    int
	Data     []byte
}

// Bounds of a fetch.
const (
	maxPart = 48 << 10 // bytes
	maxBody = 2 << 20  // bytes, compressed or not
	// fetchTimeout is when a fetch that makes no progress is given up.
	fetchTimeout = 5 * time.Second
)

// spread holds the newest accepted configuration and fetches newer ones from
// peers, one at a time.
type spread struct {
	keeper config.Keeper
	packed []byte // the head held, compressed; nil until asked for
	// from is the peer of the fetch in progress; empty for none.
	from     string
	began    time.Duration
	revision uint64
	parts    []byte
	counts   SpreadCounts
}

// SpreadCounts tells what became of an agent's fetches.
type SpreadCounts struct {
	// Fetches counts parts asked for, Failed those that failed.
	Fetches, Failed int64
	// Corrupt counts bodies that could not be unpacked.
	Corrupt int64
	// Conflicting counts peers that hold the revision with another digest.
	Conflicting int64
}

// accept takes a head that is higher than the one held.
func (s *spread) accept(h config.Head) bool {
	taken, err := s.keeper.Offer(h)
	if err != nil || !taken {
		return false
	}
	s.packed = nil
	return true
}

// offer takes the word of the peer at address that it holds a revision, and
// begins a fetch where that is higher.
func (s *spread) offer(now time.Duration, address string, revision, digest uint64) []Action {
	held := s.keeper.Version()
	switch {
	case revision == held.Revision && digest != shortDigest(held.Digest):
		s.counts.Conflicting++
		return nil
	case revision <= held.Revision || address == "":
		return nil
	case s.from != "" && now-s.began < fetchTimeout:
		return nil
	}
	s.from, s.began, s.revision, s.parts = address, now, revision, nil
	return s.fetch()
}

func (s *spread) fetch() []Action {
	s.counts.Fetches++
	return []Action{Fetch{Address: s.from, Request: PartRequest{Revision: s.revision, Offset: len(s.parts)}}}
}

// fetched takes a part, asks for the next or returns the whole head.
func (s *spread) fetched(now time.Duration, address string, p *Part, err error) (h config.Head, whole bool, out []Action) {
	if address != s.from {
		return h, false, nil
	}
	if err != nil || p.Revision < s.revision || len(p.Data) == 0 || p.Total > maxBody {
		s.counts.Failed++
		s.from, s.parts = "", nil
		return h, false, nil
	}
	if p.Revision != s.revision {
		s.revision, s.parts = p.Revision, nil
	}
	s.parts = append(s.parts, p.Data...)
	s.began = now
	if len(s.parts) < p.Total {
		return h, false, s.fetch()
	}
	h, err = unpack(s.parts)
	s.from, s.parts = "", nil
	if err != nil || h.Revision != p.Revision {
		s.counts.Corrupt++
		return h, false, nil
	}
	return h, true, nil
}

// part answers a peer's PartRequest.
func (s *spread) part(r PartRequest) (Part, error) {
	held := s.keeper.Version().Revision
	if held == 0 {
		return Part{}, errNoConfiguration
	}
	if s.packed == nil {
		b, err := pack(s.keeper.Head())
		if err != nil {
			return Part{}, err
		}
		s.packed = b
	}
	if r.Revision != held || r.Offset < 0 || r.Offset > len(s.packed) {
		r.Offset = 0
	}
	end := min(len(s.packed), r.Offset+maxPart)
	return Part{Revision: held, Total: len(s.packed), Data: s.packed[r.Offset:end]}, nil
}

func pack(h config.Head) ([]byte, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func unpack(b []byte) (config.Head, error) {
	var h config.Head
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxBody))
	if err != nil {
		return h, err
	}
	return h, json.Unmarshal(raw, &h)
}

// shortDigest returns the first bytes of a digest in hexadecimal.
func shortDigest(d string) uint64 {
	b, err := hex.DecodeString(d)
	if err != nil || len(b) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
