package fleet

import (
	"bytes"
	"encoding/binary"
	"errors"
	"time"
)

// beat is a datagram by which an instance shows that it lives and how new its
// copy of the store is.
type beat struct {
	Format      uint8
	Flags       uint8
	Incarnation uint64
	// Count orders the states of one incarnation.
	Count uint32
	// Revision is that of the sender's copy of the store.
	Revision int64
	// AgeMillis is the time since the copy was known to be complete.
	AgeMillis uint32
	// Members is the version of the sender's list of members.
	Members uint64
}

// beatFormat changes with the layout of a beat.
const beatFormat = 1

// Flags of a beat.
const (
	flagReady = 1 << iota
	flagLeaving
	// flagBlind: the sender can't read the store itself.
	flagBlind
	// flagAnswer: the beat answers another.
	flagAnswer
	// flagUnknown: the sender of the answer does not know whom it answers.
	flagUnknown
)

// noAge says that the copy was never known to be complete.
const noAge = ^uint32(0)

var errBeat = errors.New("fleet: datagram is not a beat of this version: run one version on all instances")

func (b beat) encode() []byte {
	var out bytes.Buffer
	// Writing fixed-size fields into memory can't fail.
	_ = binary.Write(&out, binary.BigEndian, b)
	return out.Bytes()
}

func decodeBeat(p []byte) (beat, error) {
	var b beat
	if len(p) != binary.Size(b) || p[0] != beatFormat {
		return b, errBeat
	}
	return b, binary.Read(bytes.NewReader(p), binary.BigEndian, &b)
}

// Warning is an instance's word that an upstream failed a request, so that the
// others need not find out by requests of their own.
type Warning struct {
	Format uint8
	// Upstream is the hash of the upstream's ID.
	Upstream uint64
	// Weight is what the failure counts, in hundredths of a request.
	Weight uint8
}

// warningFormat changes with the layout of a Warning.
const warningFormat = 101

func (w Warning) encode() []byte {
	var out bytes.Buffer
	// Writing fixed-size fields into memory can't fail.
	_ = binary.Write(&out, binary.BigEndian, w)
	return out.Bytes()
}

// decodeWarning returns false where p is no Warning.
func decodeWarning(p []byte) (w Warning, ok bool) {
	if len(p) != binary.Size(w) || p[0] != warningFormat {
		return w, false
	}
	return w, binary.Read(bytes.NewReader(p), binary.BigEndian, &w) == nil
}

func ageMillis(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), int64(noAge)-1))
}
