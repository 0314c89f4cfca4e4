package fleet

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"github.com/catkinrouter/catkinrouter/mirror"
)

const (
	// packFrom is the number of items from which a delta is sent compressed.
	packFrom = 16
	// maxUnpackedBytes bounds the uncompressed size of a received delta.
	maxUnpackedBytes = 64 << 20
)

// packedCopy is the compressed full copy of a revision. It is kept because many
// instances that start together fetch the same one.
type packedCopy struct {
	revision int64
	bytes    []byte
}

// pack returns d encoded and compressed.
func pack(d mirror.Delta) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(w).Encode(d); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// unpack decodes a delta that pack returned.
func unpack(p []byte) (d mirror.Delta, err error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpackedBytes)
	if err := gob.NewDecoder(r).Decode(&d); err != nil {
		return mirror.Delta{}, fmt.Errorf("packed delta of %d bytes: %w", len(p), err)
	}
	return d, nil
}

// setDelta stores d in the reply, compressed if it is long. A full copy is packed
// once per revision.
func (f *Fleet) setDelta(reply *SyncReply, d mirror.Delta) error {
	if len(d.Items) < packFrom {
		reply.Delta = d
		return nil
	}
	if d.Full && f.packed.revision == d.Revision {
		reply.Packed = f.packed.bytes
		return nil
	}
	p, err := pack(d)
	if err != nil {
		return err
	}
	if d.Full {
		f.packed = packedCopy{revision: d.Revision, bytes: p}
	}
	reply.Packed = p
	return nil
}

// delta returns the delta in the reply.
func (r *SyncReply) delta() (mirror.Delta, error) {
	if len(r.Packed) == 0 {
		return r.Delta, nil
	}
	return unpack(r.Packed)
}
