package agent

import (
	"encoding/gob"
	"flag"
	"net/rpc"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/membership"
)

type message = membership.Message

// byteCount counts the bytes of messages as net/rpc sends them on connections
// already in use, on which gob has sent its type definitions.
type byteCount struct {
	n   int64
	enc *gob.Encoder
}

func newByteCount() *byteCount {
	b := &byteCount{}
	b.enc = gob.NewEncoder(b)
	return b
}

func (b *byteCount) Write(p []byte) (int, error) {
	b.n += int64(len(p))
	return len(p), nil
}

// add counts the bytes of one RPC message with body v.
func (b *byteCount) add(v any) {
	var header any = &rpc.Response{ServiceMethod: exchangeMethod, Seq: 1 << 20}
	if err := b.enc.Encode(header); err != nil {
		panic(err)
	}
	if err := b.enc.Encode(v); err != nil {
		panic(err)
	}
}

var long = flag.Bool("fleet.long", false, "measure fleets of 160 instances too")

// Guards against growth of an agent's traffic with the size of the fleet, and
// against live instances dropped in a fleet without faults. With -v it logs the
// measured values.
func TestBytesAndCallsBySize(t *testing.T) {
	sizes := []int{6, 18, 48}
	if *long {
		sizes = append(sizes, 160)
	}
	for _, n := range sizes {
		f := newFleet(n, 1)
		f.confirm(nil)
		took, ok := f.advanceUntil(time.Minute, func() bool { return viewsConverged(f.hosts) })
		if !ok {
			t.Errorf("%d instances: views do not converge", n)
		}
		f.advance(30 * time.Second)
		b := newByteCount()
		f.onSend = func(_, _ *host, v any) { b.add(v) }
		f.storeCalls = 0
		dropped := f.dropped()
		const minutes = 1
		oldest := time.Duration(0)
		for range minutes * 60 {
			f.advance(time.Second)
			for _, h := range f.hosts {
				for _, m := range h.node.Table().Members(h.now()) {
					oldest = max(oldest, m.Age)
				}
			}
		}
		drops := f.dropped() - dropped
		perSecond := 2 * float64(b.n) / float64(n) / (minutes * 60)
		f.onSend = nil
		f.confirm(f.hosts[0])
		byConfirm, _ := f.advanceUntil(time.Minute, func() bool { return revisionActive(f.hosts, f.head.Revision) })
		f.confirm(nil)
		byWatch, _ := f.advanceUntil(time.Minute, func() bool { return revisionActive(f.hosts, f.head.Revision) })
		t.Logf("%3d instances: views converged after %v; %.0f bytes/s sent and received per instance; %.1f store calls/min; oldest heartbeat %v, %d drops; active at all entries after %v by confirm, %v by watch",
			n, took, perSecond, float64(f.storeCalls)/minutes, oldest, drops, byConfirm, byWatch)
		if drops > 0 {
			t.Errorf("%d instances: %d live instances dropped", n, drops)
		}
		if perSecond > 7000 {
			t.Errorf("%d instances: %.0f bytes/s", n, perSecond)
		}
	}
}

// dropped returns how often hosts dropped another one as silent.
func (f *fleet) dropped() int64 {
	var n int64
	for _, h := range f.hosts {
		n += h.node.Table().Counts().Silent
	}
	return n
}
