package fleet

import (
	"bytes"
	"encoding/binary"
	"errors"
	"time"

	"github.com/catkinrouter/catkinrouter/store"
)

// heartbeat is the datagram that reports an instance as live, with its state and
// the revision of its copy of the store.
type heartbeat struct {
	Format      uint8
	Flags       uint8
	Incarnation uint64
	// Count orders the states of one incarnation.
	Count uint32
	// SentAt is when the heartbeat was made, by the sender's clock.
	SentAt time.Duration
	// Revision is the revision of the sender's copy of the store.
	Revision store.Revision
	// AgeMillis is the time from the last confirmation that the copy is complete to SentAt,
	// or ageUnknown.
	AgeMillis uint32
	// ProvenAgeMillis is the time from the last proof that the copy is complete to SentAt,
	// or ageUnknown.
	ProvenAgeMillis uint32
	// EchoIncarnation and EchoSentAt name the newest heartbeat that the sender had received
	// from the receiver, EchoReceivedAt when that was, by the sender's clock; 0 for none.
	EchoIncarnation            uint64
	EchoSentAt, EchoReceivedAt time.Duration
	// Members is the version of the sender's member list.
	Members uint64
}

// heartbeatFormat changes with the layout of a heartbeat.
const heartbeatFormat = 5

// Flags of a heartbeat.
const (
	flagReady = 1 << iota
	flagLeaving
	// flagBlind: the sender cannot read the store itself.
	flagBlind
	// flagReply: the heartbeat replies to another and needs no reply.
	flagReply
	// flagInfoMissing: the sender of the reply has no Info of the receiver.
	flagInfoMissing
	// flagLacksStore: the store answers neither the sender nor, as far as it
	// knows, those that bring it the store's changes.
	flagLacksStore
)

// ageUnknown means that the copy was never confirmed complete.
const ageUnknown = ^uint32(0)

var errHeartbeat = errors.New("fleet: datagram is not a heartbeat of this version: run one version on all instances")

func (b heartbeat) encode() []byte {
	var out bytes.Buffer
	// Writing fixed-size fields to memory cannot fail.
	_ = binary.Write(&out, binary.BigEndian, b)
	return out.Bytes()
}

func decodeHeartbeat(p []byte) (heartbeat, error) {
	var b heartbeat
	if len(p) != binary.Size(b) || p[0] != heartbeatFormat {
		return b, errHeartbeat
	}
	if err := binary.Read(bytes.NewReader(p), binary.BigEndian, &b); err != nil {
		return b, err
	}
	for _, at := range []time.Duration{b.SentAt, b.EchoSentAt, b.EchoReceivedAt} {
		if at < 0 || at > maxElapsed {
			return b, errHeartbeat
		}
	}
	return b, nil
}

// maxElapsed bounds the times of a heartbeat, so that sums of them do not overflow.
const maxElapsed = 20 * 365 * 24 * time.Hour

// Warning is a datagram that reports a failed request to an upstream, or that an
// upstream says that it is leaving, so that other instances learn of it without requests
// of their own.
type Warning struct {
	Format uint8
	// Upstream identifies the upstream to the listeners.
	Upstream uint64
	// Weight is the weight of the failure, in hundredths of a request.
	Weight uint8
	// Leaving is set if the upstream is leaving; Weight is then 0.
	Leaving bool
	// Forward asks the receiver to pass the warning on to its data centre.
	Forward bool
}

// warningFormat changes with the layout of a Warning.
const warningFormat = 104

func (w Warning) encode() []byte {
	var out bytes.Buffer
	// Writing fixed-size fields to memory cannot fail.
	_ = binary.Write(&out, binary.BigEndian, w)
	return out.Bytes()
}

// decodeWarning returns false if p is not a Warning.
func decodeWarning(p []byte) (w Warning, ok bool) {
	if len(p) != binary.Size(w) || p[0] != warningFormat {
		return w, false
	}
	return w, binary.Read(bytes.NewReader(p), binary.BigEndian, &w) == nil
}

// ageMillis converts age to milliseconds, capped below ageUnknown. It rounds up: an age that
// is passed on again and again must not fall.
func ageMillis(age time.Duration) uint32 {
	millis := (max(0, age) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(millis, time.Duration(ageUnknown)-1))
}
