package membership

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key is the hash that identifies an instance in messages.
type Key uint32

// KeyOf returns the Key of an instance ID.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Beat is a heartbeat of an instance, with the state that changes often.
// Heartbeats of one instance are ordered by Incarnation, then by Count; only
// the instance itself increments them.
type Beat struct {
	Key Key
	// Incarnation identifies one run of the agent. A later run has a higher
	// one, such as the wall-clock time of its start in milliseconds.
	Incarnation uint64
	// Count increases with every heartbeat of an incarnation.
	Count uint64
	// Age is the time since the instance issued the heartbeat, as known to the
	// sender of the message. It is encoded in steps of ageStep.
	Age time.Duration
	// Version increases with every change of the instance's Info.
	Version uint64
	// Revision is the revision of the configuration in force at the entry.
	Revision uint64
	// Spare is the entry's spare capacity, from 0 to MaxSpare.
	Spare uint8
	// Ready is set while the entry has a configuration in force and answers
	// its agent.
	Ready bool
	// Leaving is set once the entry has begun a planned stop.
	Leaving bool
	// Store is set if the agent has read the platform's store recently.
	Store bool
}

// MaxSpare is the value of Spare for an idle entry.
const MaxSpare = 15

const (
	ageStep     = 100 * time.Millisecond
	maxAgeSteps = 255
)

const (
	readyBit   = 1 << 4
	leavingBit = 1 << 5
	storeBit   = 1 << 6
)

// newer reports whether b was issued after o by the same instance.
func (b Beat) newer(o Beat) bool {
	if b.Incarnation != o.Incarnation {
		return b.Incarnation > o.Incarnation
	}
	return b.Count > o.Count
}

// flags packs Spare and the Boolean fields into one byte.
func (b Beat) flags() byte {
	f := min(b.Spare, MaxSpare)
	if b.Ready {
		f |= readyBit
	}
	if b.Leaving {
		f |= leavingBit
	}
	if b.Store {
		f |= storeBit
	}
	return f
}

// Beats is a list of heartbeats with a compact binary encoding of about 14 bytes
// each. Revisions are encoded as differences to the revision of the first one.
type Beats []Beat

// errHeartbeats is returned for an encoded list that is truncated or too long.
var errHeartbeats = errors.New("membership: malformed heartbeats: the peer runs another version or is faulty")

// MarshalBinary implements encoding.BinaryMarshaler.
func (l Beats) MarshalBinary() ([]byte, error) {
	out := make([]byte, 0, 20*len(l))
	base := uint64(0)
	for _, b := range l {
		out = binary.BigEndian.AppendUint32(out, uint32(b.Key))
		out = append(out, b.flags(), byte(max(0, min(b.Age/ageStep, maxAgeSteps))))
		out = binary.AppendUvarint(out, b.Incarnation)
		out = binary.AppendUvarint(out, b.Count)
		out = binary.AppendUvarint(out, b.Version)
		out = binary.AppendVarint(out, int64(b.Revision-base))
		base = l[0].Revision
	}
	return out, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (l *Beats) UnmarshalBinary(in []byte) error {
	*l = nil
	for len(in) > 0 {
		if len(in) < 6 || len(*l) == MaxBeats {
			return errHeartbeats
		}
		f := in[4]
		b := Beat{
			Key: Key(binary.BigEndian.Uint32(in)), Age: time.Duration(in[5]) * ageStep,
			Spare: f & MaxSpare, Ready: f&readyBit != 0, Leaving: f&leavingBit != 0, Store: f&storeBit != 0,
		}
		in = in[6:]
		for _, v := range []*uint64{&b.Incarnation, &b.Count, &b.Version} {
			n := 0
			if *v, n = binary.Uvarint(in); n <= 0 {
				return errHeartbeats
			}
			in = in[n:]
		}
		d, n := binary.Varint(in)
		if n <= 0 {
			return errHeartbeats
		}
		in = in[n:]
		b.Revision = uint64(d)
		if len(*l) > 0 {
			b.Revision += (*l)[0].Revision
		}
		*l = append(*l, b)
	}
	return nil
}
