package membership

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key stands for an instance's ID in messages.
type Key uint32

// KeyOf returns the key of an instance ID.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Beat is the newest heartbeat of an instance, with the state that changes
// often. Beats of one instance are ordered by Incarnation, then by Count; only
// the instance itself raises them.
type Beat struct {
	Key Key
	// Incarnation identifies one run of the agent; a later run has a higher
	// one, such as the time of day in milliseconds at its start.
	Incarnation uint64
	// Count rises with every heartbeat of an incarnation.
	Count uint64
	// Age is the time since the instance sent the heartbeat, as far as the
	// sender of the message knows, in steps of ageStep.
	Age time.Duration
	// Version rises with every change of the instance's Info.
	Version uint64
	// Revision is the configuration in force at the entry.
	Revision uint64
	// Spare is the entry's spare capacity, from 0 to MaxSpare.
	Spare uint8
	// Ready entries have a configuration in force and answer their agent.
	Ready bool
	// Leaving entries have begun a planned stop.
	Leaving bool
	// Store tells that the agent read the platform's store lately.
	Store bool
}

// MaxSpare is the Spare of an idle entry.
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

// newer tells whether b was sent after o by the same instance.
func (b Beat) newer(o Beat) bool {
	if b.Incarnation != o.Incarnation {
		return b.Incarnation > o.Incarnation
	}
	return b.Count > o.Count
}

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

// Beats is a list of heartbeats; it encodes itself in about 14 bytes each.
// Revisions are written as the difference to the first one's.
type Beats []Beat

// errBeats marks a list that was cut or is too long.
var errBeats = errors.New("membership: malformed heartbeats: the peer runs another version or is at fault")

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
			return errBeats
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
				return errBeats
			}
			in = in[n:]
		}
		d, n := binary.Varint(in)
		if n <= 0 {
			return errBeats
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
