package fleet

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"sync"

	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/store"
)

const (
	// packFrom is the number of items from which a delta is sent compressed.
	packFrom = 64
	// maxUnpackedBytes bounds the uncompressed size of a received delta.
	maxUnpackedBytes = 64 << 20
)

// packedDeltas holds the compressed deltas up to one revision, by the revision
// after which they begin. Instances that fall behind together, such as all that
// start, fetch the same delta.
type packedDeltas struct {
	revision store.Revision
	byBase   map[store.Revision][]byte
}

// maxPackedDeltas bounds the deltas kept.
const maxPackedDeltas = 4

// compressors holds unused compressors; each takes about a megabyte.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a valid constant
	}
	return w
}}

// pack returns d encoded and compressed.
func pack(d mirror.Delta) ([]byte, error) {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
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

// setDelta stores d in the reply, compressed if it is long.
func (f *Fleet) setDelta(reply *SyncReply, d mirror.Delta) (err error) {
	if len(d.Items) < packFrom {
		reply.Delta = d
		return nil
	}
	if f.packed.revision != d.Revision || len(f.packed.byBase) >= maxPackedDeltas {
		f.packed = packedDeltas{revision: d.Revision, byBase: map[store.Revision][]byte{}}
	}
	if p := f.packed.byBase[d.Base]; p != nil {
		reply.Packed = p
		return nil
	}
	reply.Packed, err = pack(d)
	f.packed.byBase[d.Base] = reply.Packed
	return err
}

// delta returns the delta in the reply.
func (r *SyncReply) delta() (mirror.Delta, error) {
	if len(r.Packed) == 0 {
		return r.Delta, nil
	}
	return unpack(r.Packed)
}
