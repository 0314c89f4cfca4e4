package fleet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
)

// beatLoop sends beats until ctx ends.
func (f *Fleet) beatLoop(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		t.Reset(f.beatNow())
	}
}

// beatNow sends the beats that are due and returns the time until the next.
func (f *Fleet) beatNow() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	if b := f.reader.blind(now); b != f.state.Blind {
		f.state.Blind = b
		f.changed()
		level.Info(f.opt.Log).Log("msg", "store access", "blind", b, "copy_age", f.reader.age(now))
	}
	f.sendAll(f.table.Tick(now), 0)
	f.noteHubs(now)
	f.show()
	f.wakeReader()
	if f.copy.Revision() == 0 {
		return firstBeatInterval
	}
	return BeatInterval
}

// noteHubs logs a change of the hubs.
func (f *Fleet) noteHubs(now time.Duration) {
	hubs := ""
	for _, h := range f.table.Hubs(now) {
		hubs += h + " "
	}
	if hubs != f.hubs {
		level.Info(f.opt.Log).Log("msg", "hubs changed", "hubs", hubs, "before", f.hubs, "members", len(f.table.Live()))
		f.hubs = hubs
	}
}

func (f *Fleet) wakeReader() {
	select {
	case f.wake <- struct{}{}:
	default: // it is awake already
	}
}

func (f *Fleet) sendAll(to []string, flags uint8) {
	for _, a := range to {
		f.send(a, flags)
	}
}

// warningsPerSecond bounds the warnings that this instance sends.
const warningsPerSecond = 40

// Warn tells the other instances of a failure at an upstream. Those beyond the
// bound are left out: the upstream is known by then.
func (f *Fleet) Warn(w Warning) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	if f.conn == nil || !f.warnings.AllowN(time.Unix(0, int64(now)), 1) {
		return
	}
	w.Format = warningFormat
	p := w.encode()
	for _, m := range f.table.Live() {
		if m.Address != f.opt.Self.Address {
			f.write(m.Address, p)
		}
	}
}

// send sends one beat. A lost one is made up for by the next.
func (f *Fleet) send(to string, flags uint8) {
	if f.conn != nil {
		f.write(to, f.own(flags).encode())
	}
}

// write sends a datagram.
func (f *Fleet) write(to string, p []byte) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		level.Warn(f.opt.Log).Log("msg", "peer address can't be read", "address", to, "err", err)
		return
	}
	if _, err := f.conn.WriteToUDPAddrPort(p, addr); err != nil && !errors.Is(err, net.ErrClosed) {
		level.Debug(f.opt.Log).Log("msg", "datagram not sent", "to", to, "err", err)
	}
}

// own returns this instance's beat.
func (f *Fleet) own(flags uint8) beat {
	b := beat{
		Format: beatFormat, Flags: flags, Incarnation: f.opt.Self.Incarnation, Count: f.state.Count,
		Revision: f.copy.Revision(), AgeMillis: noAge, Members: f.table.Version(),
	}
	if f.reader.proven {
		b.AgeMillis = ageMillis(f.reader.age(f.opt.Now()))
	}
	for _, s := range []struct {
		set  bool
		flag uint8
	}{{f.state.Ready, flagReady}, {f.state.Leaving, flagLeaving}, {f.state.Blind, flagBlind}} {
		if s.set {
			b.Flags |= s.flag
		}
	}
	return b
}

// maxDatagram bounds what is read of a datagram, in bytes.
const maxDatagram = 256

// receive takes beats until the socket closes.
func (f *Fleet) receive() error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // the error of an earlier datagram's target
		}
		if w, ok := decodeWarning(buf[:n]); ok {
			f.listen.Warned(f.opt.Now(), w)
			continue
		}
		b, err := decodeBeat(buf[:n])
		if err != nil {
			level.Warn(f.opt.Log).Log("msg", "datagram ignored", "from", from, "err", err)
			continue
		}
		f.heard(from.String(), b)
	}
}

func (f *Fleet) heard(from string, b beat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	known := f.table.Heard(now, from, b.Incarnation, State{
		Ready: b.Flags&flagReady != 0, Leaving: b.Flags&flagLeaving != 0, Blind: b.Flags&flagBlind != 0, Count: b.Count,
	})
	if !known {
		delete(f.knows, from) // a new incarnation counts its list anew
	}
	if b.Flags&flagAnswer == 0 {
		flags := uint8(flagAnswer)
		if !known {
			flags |= flagUnknown
		}
		f.send(from, flags)
	}
	if b.AgeMillis != noAge && b.Revision <= f.copy.Revision() && f.copy.Revision() > 0 {
		if at := now - time.Duration(b.AgeMillis)*time.Millisecond; at > f.reader.proof && f.reader.prove(at) {
			f.listen.StoreReturned(now)
		}
	}
	news := b.Revision > f.copy.Revision()
	if news && f.behind == 0 {
		f.behind = now
	}
	joined := f.isFirstHub(now, from) && f.knows[from] != b.Members
	if news && f.fetches(now, from) || joined || !known || b.Flags&flagUnknown != 0 {
		f.askSync(from)
	}
	f.show()
}

// isFirstHub tells whether the list of members is taken from a peer: each hub
// hears all beats itself, so the lists of others bring nothing more. The hub
// takes the next one's.
func (f *Fleet) isFirstHub(now time.Duration, address string) bool {
	for _, h := range f.table.Hubs(now) {
		if h != f.opt.Self.Address {
			return h == address
		}
	}
	return false
}
