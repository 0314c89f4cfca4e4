package fleet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"
)

// heartbeatLoop sends heartbeats until ctx ends.
func (f *Fleet) heartbeatLoop(ctx context.Context) error {
	return repeat(ctx, f.tickNow, func(context.Context) time.Duration { return f.tick() })
}

// repeat calls step at once, then each time after the pause that step returned or
// when wake is signalled, until ctx ends.
func repeat(ctx context.Context, wake <-chan struct{}, step func(context.Context) time.Duration) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-t.C:
		}
		t.Reset(step(ctx))
	}
}

// tick sends the heartbeats that are due and returns the time until the next
// ones.
func (f *Fleet) tick() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, elapsed := f.readClocks()
	f.aliveAt = elapsed
	f.logLateHeartbeats()
	f.publishProof()
	if b := f.reader.blind(now); b != f.state.Blind {
		f.state.Blind = b
		f.stateChanged()
		level.Info(f.opt.Log).Log("msg", "store access changed", "blind", b, "copy_age", f.reader.age(now))
	}
	to := f.table.Tick(now)
	f.publishedVersion = f.table.Version()
	f.updateListSources(now)
	f.sendHeartbeats(to, 0)
	f.logRoleChange(now)
	f.notifyMembers()
	f.wakeReader()
	if f.copy.Revision() == 0 {
		return initialHeartbeatInterval
	}
	return HeartbeatInterval
}

// logRoleChange logs the hubs and the leaders of this data centre if they
// changed.
func (f *Fleet) logRoleChange(now time.Duration) {
	text := strings.Join(f.table.Hubs(now), " ") + ", " + strings.Join(f.table.Leaders(now), " ")
	if text != f.loggedRoles {
		f.counts.RoleChanges++
		level.Info(f.opt.Log).Log("msg", "hubs or leaders changed", "hubs", strings.Join(f.table.Hubs(now), " "),
			"leaders", strings.Join(f.table.Leaders(now), " "), "live", f.live)
		f.loggedRoles = text
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

// sendHeartbeat sends one heartbeat. A lost datagram needs no retry, since the
// next heartbeat carries the current state.
func (f *Fleet) sendHeartbeat(to string, flags uint8) {
	f.send(to, f.newHeartbeat(to, flags).encode())
}

// sendUDP sends p to the peer address to. Failures are only logged.
func (f *Fleet) sendUDP(conn *net.UDPConn, to string, p []byte) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		level.Warn(f.opt.Log).Log("msg", "invalid peer address", "address", to, "err", err)
		return
	}
	if _, err := conn.WriteToUDPAddrPort(p, addr); err != nil && !errors.Is(err, net.ErrClosed) {
		level.Debug(f.opt.Log).Log("msg", "datagram send failed", "to", to, "err", err)
	}
}

// newHeartbeat returns a heartbeat to the peer with this instance's current state.
func (f *Fleet) newHeartbeat(to string, flags uint8) heartbeat {
	now, elapsed := f.readClocks()
	b := heartbeat{
		Format: heartbeatFormat, Flags: flags, Incarnation: f.opt.Self.Incarnation, Count: f.state.Count, SentAt: elapsed,
		Revision: f.copy.Revision(), AgeMillis: ageUnknown, ProvenAgeMillis: ageUnknown, Members: f.publishedVersion,
	}
	r := f.table.receivedFrom(to)
	b.EchoIncarnation, b.EchoSentAt, b.EchoReceivedAt = r.incarnation, r.sentAt, r.receivedAt
	if f.reader.confirmed {
		b.AgeMillis = ageMillis(f.reader.age(now))
	}
	if age := f.proof.age(elapsed); age != AgeUnknown {
		b.ProvenAgeMillis = ageMillis(age)
	}
	for _, s := range []struct {
		set  bool
		flag uint8
	}{
		{f.state.Ready, flagReady},
		{f.state.Leaving, flagLeaving},
		{f.state.Blind, flagBlind},
		{f.lacksStore(now), flagLacksStore},
	} {
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
func (f *Fleet) receive(conn *net.UDPConn) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // the error concerns the destination of an earlier datagram
		}
		// A panic is logged; the sender sends its state again.
		_ = f.opt.Guard.Run("datagram", func() { f.handleDatagram(from.String(), buf[:n]) })
	}
}

// handleDatagram handles a datagram, which may have waited in the socket for any time.
func (f *Fleet) handleDatagram(from string, p []byte) {
	if f.receiveTokens(from, p) {
		return
	}
	if w, ok := decodeWarning(p); ok {
		f.receiveWarning(from, w)
		return
	}
	if r, ok := decodeCrashReport(p); ok {
		f.receiveCrashReport(from, r)
		return
	}
	b, err := decodeHeartbeat(p)
	if err != nil {
		level.Warn(f.opt.Log).Log("msg", "datagram ignored", "from", from, "err", err)
		return
	}
	f.handleHeartbeat(from, b)
}

// handleHeartbeat records a peer's heartbeat, replies to it and queues a sync if
// the peer has something that this instance lacks.
func (f *Fleet) handleHeartbeat(from string, b heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, elapsed := f.readClocks()
	f.recordClock(elapsed, from, b)
	known := f.table.ReceiveHeartbeat(now, from, b.Incarnation, State{
		Ready: b.Flags&flagReady != 0, Leaving: b.Flags&flagLeaving != 0, Blind: b.Flags&flagBlind != 0, Count: b.Count,
	})
	if !known {
		delete(f.memberVersions, from) // a new incarnation restarts its list version
	}
	lackedStore := f.lacksStore(now)
	f.table.setLacksStore(from, b.Flags&flagLacksStore != 0)
	isReply := b.Flags&flagReply != 0
	if !isReply {
		flags := uint8(flagReply)
		if !known {
			flags |= flagInfoMissing // the sender then begins a sync
		}
		f.sendHeartbeat(from, flags)
	}
	f.confirmFrom(now, elapsed, from, b)
	f.tellLacksStore(now, lackedStore)
	newer := b.Revision > f.copy.Revision()
	if newer && f.behindSince == 0 {
		f.behindSince = now
	}
	fetch := newer && f.shouldFetchFrom(now, from) && !f.fetching(now, from)
	membersChanged := b.Members > f.memberVersions[from] && slices.Contains(f.listSources, from)
	if fetch || membersChanged || isReply && (!known || b.Flags&flagInfoMissing != 0) {
		f.enqueueSync(now, from)
	}
	f.notifyMembers()
}

// recordClock records what a peer's heartbeat tells of its clock.
func (f *Fleet) recordClock(elapsed time.Duration, from string, b heartbeat) {
	m := f.table.members[from]
	if m == nil {
		return
	}
	if b.EchoIncarnation == f.opt.Self.Incarnation && b.EchoReceivedAt > 0 && b.EchoSentAt <= elapsed {
		m.clock.observe(b.Incarnation, b.EchoSentAt, b.EchoReceivedAt)
	}
	m.received = receivedHeartbeat{incarnation: b.Incarnation, sentAt: b.SentAt, receivedAt: elapsed}
}

// confirmFrom records a peer's confirmation of its copy as one of this copy, if
// this copy is at least as new. The confirmation is as of the moment at which the heartbeat was
// made, so one of a peer whose clock is not known proves nothing.
func (f *Fleet) confirmFrom(now, elapsed time.Duration, from string, b heartbeat) {
	sentAt, ok := f.table.ownTimeOf(from, b, elapsed)
	if !ok {
		return
	}
	if delay := elapsed - sentAt; delay >= lateHeartbeat {
		f.late.add(from, delay)
	}
	if b.Revision > f.copy.Revision() || f.copy.Revision() == 0 {
		return
	}
	if b.ProvenAgeMillis != ageUnknown {
		f.proof.prove(sentAt - time.Duration(b.ProvenAgeMillis)*time.Millisecond)
		f.publishProof()
	}
	if b.AgeMillis == ageUnknown {
		return
	}
	at := sentAt - time.Duration(b.AgeMillis)*time.Millisecond
	if f.confirm(at) {
		f.listener.StoreRecovered(now)
	}
}

// updateListSources requests the whole list from each new source. What this
// instance learned from the previous source may be wrong, such as members that
// it took for silent, and the new source may not have changed it since. The same
// holds for a source of summaries that were ignored before it was one.
func (f *Fleet) updateListSources(now time.Duration) {
	next := f.table.listSources(now)
	for _, a := range next {
		if !slices.Contains(f.listSources, a) {
			delete(f.memberVersions, a)
		}
	}
	for _, a := range f.table.takeIgnoredSources(now) {
		delete(f.memberVersions, a)
	}
	f.listSources = next
}
