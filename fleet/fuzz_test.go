package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/catkinrouter/catkinrouter/mirror"
)

func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add(heartbeat{Format: heartbeatFormat, Flags: flagReady, Incarnation: 7, Revision: 9, AgeMillis: 3}.encode())
	f.Add([]byte{heartbeatFormat})
	f.Fuzz(func(t *testing.T, p []byte) {
		b, err := decodeHeartbeat(p)
		if err == nil && string(b.encode()) != string(p) {
			t.Errorf("%x decodes to %+v, which encodes differently", p, b)
		}
	})
}

// Any datagram, from a known or unknown address, must be handled without a panic,
// and must not make a copy look newer or fresher than it is.
func FuzzDatagram(f *testing.F) {
	f.Add("10.0.0.2:1", heartbeat{Format: heartbeatFormat, Flags: flagReady | flagReply, Incarnation: 1, Revision: 9, AgeMillis: 3}.encode())
	f.Add("10.0.0.2:1", heartbeat{Format: heartbeatFormat, Incarnation: 1, SentAt: time.Hour, Revision: 5, EchoIncarnation: 1, EchoSentAt: 9 * time.Second, EchoReceivedAt: time.Hour}.encode())
	f.Add("10.0.0.3:1", Warning{Format: warningFormat, Upstream: 7, Weight: 50, Forward: true}.encode())
	f.Add("10.0.0.3:1", CrashReport{Format: crashReportFormat, Content: [16]byte{7}, Upstream: 7, RanMillis: 50, Forward: true}.encode())
	f.Add("10.0.0.3:1", TokenRequest{Number: 3, Customer: 7, Want: 2, Waiting: 1}.encode())
	f.Add("10.0.0.3:1", TokenReply{Number: 3, Customer: 7, Granted: 2}.encode())
	f.Add("nonsense", []byte{})
	f.Fuzz(func(t *testing.T, from string, p []byte) {
		now := 10 * time.Second
		in := New(Options{Self: info(1), Now: func() time.Duration { return now }, Log: log.NewNopLogger()}, nil, &recordingListener{values: map[string]string{}})
		in.table.UpdateMember(now, info(2), State{Ready: true})
		in.copy.Apply(mirror.Delta{Full: true, Revision: 5})
		for range 3 {
			in.handleDatagram(from, p)
			in.tick()
		}
		if in.copy.Revision() != 5 || in.reader.confirmed && in.reader.confirmedAt > now || in.proof.at > now {
			t.Errorf("revision %d, confirmed at %v, proven at %v", in.copy.Revision(), in.reader.confirmedAt, in.proof.at)
		}
	})
}

// A packed delta that is damaged must give an error, not a panic.
func FuzzUnpack(f *testing.F) {
	p, err := pack(mirror.Delta{Full: true, Revision: 3, Items: []mirror.Item{{Key: "k", Value: []byte("v"), Revision: 2}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, p []byte) {
		d, err := unpack(p)
		if err != nil && len(d.Items) > 0 {
			t.Errorf("items %v beside the error %v", d.Items, err)
		}
	})
}

// Any value of the directory's key must be handled: its addresses are only
// contacted.
func FuzzDirectory(f *testing.F) {
	f.Add([]byte(`{"leaders":[{"address":"10.0.0.2:1","data_centre":"ibarra"}],"live":90}`))
	f.Add([]byte(`{"leaders":[{"address":7}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		in := New(Options{Self: info(1), DirectoryKey: "d", Now: func() time.Duration { return time.Second }, Log: log.NewNopLogger(), OnStoreCall: func(string) {}}, nil, &recordingListener{values: map[string]string{}})
		in.handleDirectory(value, nil)
		in.applyDirectory([]mirror.Item{{Key: "d", Value: value, Revision: 4}})
		in.tick()
		if c := in.nextRead(); c.kind == callDirectory {
			t.Error("the directory is read again and again")
		}
		for a := range in.table.members {
			if _, err := netip.ParseAddrPort(a); err != nil {
				t.Errorf("address %q taken from the directory", a)
			}
		}
		if _, err := decodeDirectory(value); err != nil && len(in.table.members) > 1 {
			t.Error("addresses taken from a value that can't be decoded")
		}
	})
}
