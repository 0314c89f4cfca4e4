package fleet

import "time"

const (
	// maxWarningsPerSecond bounds the rate of warnings that this instance
	// sends, and their burst; maxForwardsPerSecond those that it forwards.
	maxWarningsPerSecond = 40
	maxForwardsPerSecond = 80
	// maxDirectWarnings is the number of members of a data centre up to which
	// an instance sends them its warnings itself; in a larger one a leader
	// forwards them.
	maxDirectWarnings = 32
)

// Warn sends a warning to all other instances: to those of its data centre
// itself or by a leader, to those of each other data centre by a leader there.
// Warnings above the rate limit are dropped: the peers have heard of the failing
// upstream by then.
func (f *Fleet) Warn(w Warning) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.warningLimiter.AllowN(time.Unix(0, int64(f.opt.Now())), 1) {
		return
	}
	w.Format = warningFormat
	direct := w.encode()
	w.Forward = true
	f.broadcast(direct, w.encode())
}

// broadcast sends a datagram to all other instances: direct to those of this data
// centre, or forwarded, which asks the receiver to pass it on, to the first leader
// of each other data centre and, in a large one, of this one.
func (f *Fleet) broadcast(direct, forwarded []byte) {
	now := f.opt.Now()
	own := f.opt.Self.DataCentre
	leadersOf := f.table.rolesAt(now).leaders
	for _, dc := range sortedKeys(leadersOf) {
		if dc != own {
			f.send(leadersOf[dc][0], forwarded)
		}
	}
	if leaders := f.table.Leaders(now); f.table.sizeOf(own) > maxDirectWarnings && len(leaders) > 0 && leaders[0] != f.opt.Self.Address {
		f.send(leaders[0], forwarded)
		return
	}
	f.sendToDataCentre(direct, "")
}

// receiveWarning handles a warning and forwards it to this data centre if the
// sender asks for it.
func (f *Fleet) receiveWarning(from string, w Warning) {
	f.listener.WarningReceived(f.opt.Now(), w)
	if !w.Forward {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.forwardLimiter.AllowN(time.Unix(0, int64(f.opt.Now())), 1) {
		w.Forward = false
		f.sendToDataCentre(w.encode(), from)
	}
}

// sendToDataCentre sends a datagram to the other live members of this data
// centre but one.
func (f *Fleet) sendToDataCentre(p []byte, except string) {
	for _, a := range sortedKeys(f.table.members) {
		if a != f.opt.Self.Address && a != except && !f.table.members[a].Silent && f.table.sameDataCentre(a) {
			f.send(a, p)
		}
	}
}
