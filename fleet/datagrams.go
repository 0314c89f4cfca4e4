package fleet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
)

// heartbeatLoop sends heartbeats until ctx ends.
func (f *Fleet) heartbeatLoop(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		t.Reset(f.tick())
	}
}

// tick sends the heartbeats that are due and returns the time until the next
// ones.
func (f *Fleet) tick() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	if b := f.reader.blind(now); b != f.state.Blind {
		f.state.Blind = b
		f.stateChanged()
		level.Info(f.opt.Log).Log("msg", "store access changed", "blind", b, "copy_age", f.reader.age(now))
	}
	f.sendHeartbeats(f.table.Tick(now), 0)
	f.logHubChange(now)
	f.notifyMembers()
	f.wakeReader()
	if f.copy.Revision() == 0 {
		return initialHeartbeatInterval
	}
	return HeartbeatInterval
}

// logHubChange logs the hubs if they changed.
func (f *Fleet) logHubChange(now time.Duration) {
	hubs := ""
	for _, h := range f.table.Hubs(now) {
		hubs += h + " "
	}
	if hubs != f.loggedHubs {
		level.Info(f.opt.Log).Log("msg", "hubs changed", "hubs", hubs, "before", f.loggedHubs, "members", len(f.table.Live()))
		f.loggedHubs = hubs
	}
}

// wakeReader makes readLoop check whether a store call is due.
func (f *Fleet) wakeReader() {
	select {
	case f.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

func (f *Fleet) sendHeartbeats(to []string, flags uint8) {
	for _, a := range to {
		f.sendHeartbeat(a, flags)
	}
}

// maxWarningsPerSecond bounds the rate of warnings that this instance sends,
// and their burst.
const maxWarningsPerSecond = 40

// Warn sends a warning to all other instances. Warnings above the rate limit are
// dropped: the peers have heard of the failing upstream by then.
func (f *Fleet) Warn(w Warning) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	if f.conn == nil || !f.warningLimiter.AllowN(time.Unix(0, int64(now)), 1) {
		return
	}
	w.Format = warningFormat
	p := w.encode()
	for _, m := range f.table.Live() {
		if m.Address != f.opt.Self.Address {
			f.sendDatagram(m.Address, p)
		}
	}
}

// sendHeartbeat sends one heartbeat. A lost datagram needs no retry, since the
// next heartbeat carries the current state.
func (f *Fleet) sendHeartbeat(to string, flags uint8) {
	if f.conn != nil {
		f.sendDatagram(to, f.newHeartbeat(flags).encode())
	}
}

// sendDatagram sends p to the peer address to. Failures are only logged.
func (f *Fleet) sendDatagram(to string, p []byte) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		level.Warn(f.opt.Log).Log("msg", "invalid peer address", "address", to, "err", err)
		return
	}
	if _, err := f.conn.WriteToUDPAddrPort(p, addr); err != nil && !errors.Is(err, net.ErrClosed) {
		level.Debug(f.opt.Log).Log("msg", "datagram send failed", "to", to, "err", err)
	}
}

// newHeartbeat returns a heartbeat with this instance's current state.
func (f *Fleet) newHeartbeat(flags uint8) heartbeat {
	b := heartbeat{
		Format: heartbeatFormat, Flags: flags, Incarnation: f.opt.Self.Incarnation, Count: f.state.Count,
		Revision: f.copy.Revision(), AgeMillis: ageUnknown, Members: f.table.Version(),
	}
	if f.reader.confirmed {
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

// maxDatagramBytes is the size of the receive buffer, which cuts longer
// datagrams.
const maxDatagramBytes = 256

// receive handles heartbeats and warnings until the socket is closed.
func (f *Fleet) receive() error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // the error concerns the destination of an earlier datagram
		}
		if w, ok := decodeWarning(buf[:n]); ok {
			f.listener.WarningReceived(f.opt.Now(), w)
			continue
		}
		b, err := decodeHeartbeat(buf[:n])
		if err != nil {
			level.Warn(f.opt.Log).Log("msg", "datagram ignored", "from", from, "err", err)
			continue
		}
		f.handleHeartbeat(from.String(), b)
	}
}

// handleHeartbeat records a peer's heartbeat, replies to it and queues a sync if
// the peer has something that this instance lacks.
func (f *Fleet) handleHeartbeat(from string, b heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	known := f.table.ReceiveHeartbeat(now, from, b.Incarnation, State{
		Ready: b.Flags&flagReady != 0, Leaving: b.Flags&flagLeaving != 0, Blind: b.Flags&flagBlind != 0, Count: b.Count,
	})
	if !known {
		delete(f.memberVersions, from) // a new incarnation restarts its list version
	}
	if b.Flags&flagReply == 0 {
		flags := uint8(flagReply)
		if !known {
			flags |= flagInfoMissing
		}
		f.sendHeartbeat(from, flags)
	}
	if b.AgeMillis != ageUnknown && b.Revision <= f.copy.Revision() && f.copy.Revision() > 0 {
		if at := now - time.Duration(b.AgeMillis)*time.Millisecond; at > f.reader.confirmedAt && f.reader.confirm(at) {
			f.listener.StoreRecovered(now)
		}
	}
	newer := b.Revision > f.copy.Revision()
	if newer && f.behindSince == 0 {
		f.behindSince = now
	}
	membersChanged := f.fetchesMembersFrom(now, from) && f.memberVersions[from] != b.Members
	if newer && f.shouldFetchFrom(now, from) || membersChanged || !known || b.Flags&flagInfoMissing != 0 {
		f.enqueueSync(from)
	}
	f.notifyMembers()
}

// fetchesMembersFrom reports whether member lists are fetched from the peer. All
// instances use the first hub other than themselves: each hub receives all
// heartbeats directly, so the lists of further hubs add nothing.
func (f *Fleet) fetchesMembersFrom(now time.Duration, address string) bool {
	for _, h := range f.table.Hubs(now) {
		if h != f.opt.Self.Address {
			return h == address
		}
	}
	return false
}
