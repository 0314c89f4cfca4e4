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

// errNoConfiguration is the reply to a PartRequest of an agent that holds no
// configuration.
var errNoConfiguration = errors.New("agent: no configuration held: fetch it from another instance")

// PartRequest requests a part of the configuration that a peer holds.
type PartRequest struct {
	// Revision is the revision being fetched.
	Revision uint64
	// Offset is the number of bytes already received.
	Offset int
}

// Part is a part of a compressed config.Head.
type Part struct {
	// Revision is the revision that the peer holds. If it differs from the
	// requested one, Data begins at offset 0.
	Revision uint64
	// Total is the size of the compressed Head in bytes.
	Total int
	Data  []byte
}

// Bounds of a fetch.
const (
	maxPartBytes = 48 << 10
	// maxBodyBytes bounds the Head, compressed and uncompressed.
	maxBodyBytes = 2 << 20
	// fetchTimeout is the time without progress after which a fetch from
	// another peer may replace the current one.
	fetchTimeout = 5 * time.Second
)

// configReplica holds the newest accepted configuration, serves it to peers in
// parts, and fetches newer ones from peers, one fetch at a time.
type configReplica struct {
	current    config.Replica
	compressed []byte // the compressed Head of current; nil until a peer requests it
	// fetchPeer is the peer of the fetch in progress; empty for none.
	fetchPeer string
	// lastProgress is when the fetch began or last received a part.
	lastProgress  time.Duration
	fetchRevision uint64
	received      []byte
	counts        FetchCounts
}

// FetchCounts counts fetches of the configuration from peers and their errors.
type FetchCounts struct {
	// Fetches counts requested parts, Failed those that failed.
	Fetches, Failed int64
	// Corrupt counts fetched bodies that could not be decoded or did not hold
	// the stated revision.
	Corrupt int64
	// Conflicting counts messages of peers that hold the same revision with
	// another digest.
	Conflicting int64
}

// accept stores h and returns true if its revision is above the one held.
func (r *configReplica) accept(h config.Head) bool {
	accepted, err := r.current.Offer(h)
	if err != nil || !accepted {
		return false
	}
	r.compressed = nil
	return true
}

// restoreIfLost handles the head that the store holds. If this agent holds one that
// was accepted after it, the store came back from an older copy, and the newer head
// is written back. A head that was confirmed on the older one meanwhile is left
// alone.
func (r *configReplica) restoreIfLost(stored config.Head, key int64) []Action {
	held := r.current.Head()
	if !held.Extends(&stored) {
		return nil
	}
	return []Action{RestoreHead{Head: held, Expect: key}}
}

// fetchIfNewer compares the revision and digest that the peer at address holds
// with this agent's, and begins a fetch if the peer's revision is higher and no
// fetch has made progress within fetchTimeout.
func (r *configReplica) fetchIfNewer(now time.Duration, address string, revision, digest uint64) []Action {
	held := r.current.Version()
	switch {
	case revision == held.Revision && digest != shortDigest(held.Digest):
		r.counts.Conflicting++
		return nil
	case revision <= held.Revision || address == "":
		return nil
	case r.fetchPeer != "" && now-r.lastProgress < fetchTimeout:
		return nil
	}
	r.fetchPeer, r.lastProgress, r.fetchRevision, r.received = address, now, revision, nil
	return r.requestPart()
}

// requestPart returns the request for the next part of the fetch in progress.
func (r *configReplica) requestPart() []Action {
	r.counts.Fetches++
	return []Action{Fetch{Address: r.fetchPeer, Request: PartRequest{Revision: r.fetchRevision, Offset: len(r.received)}}}
}

// receivePart handles the result of a Fetch from the peer at address. It returns
// the request for the next part, or the complete Head after the last one.
func (r *configReplica) receivePart(now time.Duration, address string, p *Part, err error) (h config.Head, complete bool, out []Action) {
	if address != r.fetchPeer {
		return h, false, nil
	}
	if err != nil || p.Revision < r.fetchRevision || len(p.Data) == 0 || p.Total > maxBodyBytes {
		r.counts.Failed++
		r.fetchPeer, r.received = "", nil
		return h, false, nil
	}
	if p.Revision != r.fetchRevision {
		r.fetchRevision, r.received = p.Revision, nil
	}
	r.received = append(r.received, p.Data...)
	r.lastProgress = now
	if len(r.received) < p.Total {
		return h, false, r.requestPart()
	}
	h, err = decompressHead(r.received)
	r.fetchPeer, r.received = "", nil
	if err != nil || h.Revision != p.Revision {
		r.counts.Corrupt++
		return h, false, nil
	}
	return h, true, nil
}

// servePart returns the reply to a peer's PartRequest.
func (r *configReplica) servePart(req PartRequest) (Part, error) {
	held := r.current.Version().Revision
	if held == 0 {
		return Part{}, errNoConfiguration
	}
	if r.compressed == nil {
		b, err := compressHead(r.current.Head())
		if err != nil {
			return Part{}, err
		}
		r.compressed = b
	}
	if req.Revision != held || req.Offset < 0 || req.Offset > len(r.compressed) {
		req.Offset = 0
	}
	end := min(len(r.compressed), req.Offset+maxPartBytes)
	return Part{Revision: held, Total: len(r.compressed), Data: r.compressed[req.Offset:end]}, nil
}

// compressHead encodes h as JSON, compressed by DEFLATE.
func compressHead(h config.Head) ([]byte, error) {
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

// decompressHead reverses compressHead. Bytes above maxBodyBytes uncompressed are
// cut off, which bounds the memory that a peer's data can take.
func decompressHead(b []byte) (config.Head, error) {
	var h config.Head
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxBodyBytes))
	if err != nil {
		return h, err
	}
	return h, json.Unmarshal(raw, &h)
}

// shortDigest returns the first 8 bytes of the hexadecimal digest d as a number;
// 0 if d is not valid.
func shortDigest(d string) uint64 {
	b, err := hex.DecodeString(d)
	if err != nil || len(b) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
