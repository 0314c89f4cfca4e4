package agent

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
)

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
	head   config.Head
	packed []byte // head, compressed; nil until asked for
	// from is the peer of the fetch in progress; empty for none.
	from     string
	began    time.Duration
	revision uint64
	parts    []byte
	counts   SpreadCounts
}

// SpreadCounts tells what became of configurations offered to an agent.
type SpreadCounts struct {
	// Accepted counts higher revisions taken, Lower those refused.
	Accepted, Lower int64
	// Conflicting counts the revision in force offered with another digest.
	Conflicting int64
	// Corrupt counts bodies whose digest or form was wrong.
	Corrupt int64
	// Fetches counts parts asked for, FetchFailed those that failed.
	Fetches, FetchFailed int64
}

// accept takes a head that is higher than the one held.
func (s *spread) accept(h config.Head) bool {
	switch {
	case h.Revision < s.head.Revision:
		s.counts.Lower++
		return false
	case h.Revision == s.head.Revision:
		if h.Digest != s.head.Digest {
			s.counts.Conflicting++
		}
		return false
	}
	s.counts.Accepted++
	s.head, s.packed = h, nil
	return true
}

// offer takes the word of the peer at address that it holds a revision, and
// begins a fetch where that is higher.
func (s *spread) offer(now time.Duration, address string, revision, digest uint64) []Action {
	switch {
	case revision == s.head.Revision && digest != shortDigest(s.head.Digest):
		s.counts.Conflicting++
		return nil
	case revision <= s.head.Revision || address == "":
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
		s.counts.FetchFailed++
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
	if s.head.Revision == 0 {
		return Part{}, fmt.Errorf("no configuration held: ask another instance")
	}
	if s.packed == nil {
		b, err := pack(s.head)
		if err != nil {
			return Part{}, err
		}
		s.packed = b
	}
	if r.Revision != s.head.Revision || r.Offset < 0 || r.Offset > len(s.packed) {
		r.Offset = 0
	}
	end := min(len(s.packed), r.Offset+maxPart)
	return Part{Revision: s.head.Revision, Total: len(s.packed), Data: s.packed[r.Offset:end]}, nil
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

// unpack checks the digest and the form of the document too.
func unpack(b []byte) (config.Head, error) {
	var h config.Head
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxBody))
	if err != nil {
		return h, err
	}
	if err := json.Unmarshal(raw, &h); err != nil {
		return h, err
	}
	if config.Digest(h.Document) != h.Digest {
		return h, fmt.Errorf("digest of revision %d does not fit its document", h.Revision)
	}
	var doc config.Document
	return h, json.Unmarshal(h.Document, &doc)
}

// shortDigest returns the first bytes of a digest in hexadecimal.
func shortDigest(d string) uint64 {
	b, err := hex.DecodeString(d)
	if err != nil || len(b) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
