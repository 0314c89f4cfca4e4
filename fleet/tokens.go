package fleet

import (
	"encoding/binary"
	"slices"
	"time"
)

// TokenRequest is a datagram that asks for tokens of a customer.
type TokenRequest struct {
	Format uint8
	// Backup is set if the receiver is asked as the customer's backup allocator.
	Backup bool
	// Number identifies the request among those of its sender.
	Number   uint32
	Customer uint64
	// Want is the number of tokens wanted, Waiting how many of them calls wait for, Refused
	// the number of calls refused since the last request.
	Want, Waiting, Refused uint16
	// LeaseMilli is the lease held, in thousandths of a token per second, LeaseSpent the
	// count of tokens spent of leases.
	LeaseMilli, LeaseSpent uint32
}

// TokenReply is a datagram that answers a TokenRequest.
type TokenReply struct {
	Format uint8
	Backup bool
	// Unknown is set if the sender can't allocate, Warming if it is new to the customer,
	// Partial if it sees no majority of the fleet.
	Unknown, Warming, Partial bool
	Number                    uint32
	Customer                  uint64
	Granted                   uint16
	// LeaseMilli is the lease granted, in thousandths of a token per second.
	LeaseMilli uint32
	// AskAfterMillis is when to ask again, RetryAfterMillis when the first call that got no
	// token has a chance.
	AskAfterMillis, RetryAfterMillis uint16
}

// tokenRequestFormat and tokenReplyFormat change with the layouts.
const (
	tokenRequestFormat = 105
	tokenReplyFormat   = 106
)

func (r TokenRequest) encode() []byte {
	r.Format = tokenRequestFormat
	return appendFixed(r)
}

func (r TokenReply) encode() []byte {
	r.Format = tokenReplyFormat
	return appendFixed(r)
}

// appendFixed encodes a struct of fixed size.
func appendFixed(v any) []byte {
	// Appending fixed-size fields to memory cannot fail.
	p, _ := binary.Append(nil, binary.BigEndian, v)
	return p
}

// decodeTokenRequest returns false if p is not a TokenRequest.
func decodeTokenRequest(p []byte) (r TokenRequest, ok bool) {
	if len(p) != binary.Size(r) || p[0] != tokenRequestFormat {
		return r, false
	}
	_, err := binary.Decode(p, binary.BigEndian, &r)
	return r, err == nil
}

// decodeTokenReply returns false if p is not a TokenReply.
func decodeTokenReply(p []byte) (r TokenReply, ok bool) {
	if len(p) != binary.Size(r) || p[0] != tokenReplyFormat {
		return r, false
	}
	_, err := binary.Decode(p, binary.BigEndian, &r)
	return r, err == nil
}

// RequestTokens sends a request to the instance at the peer address to. The reply, if
// there is one, is passed to Listener.TokensGranted.
func (f *Fleet) RequestTokens(to string, r TokenRequest) { f.sendDatagram(to, r.encode()) }

// sendDatagram sends p after it has released the Fleet's lock, so that no one waits for the
// socket.
func (f *Fleet) sendDatagram(to string, p []byte) {
	f.mu.Lock()
	send := f.send
	f.mu.Unlock()
	send(to, p)
}

// receiveTokens handles a datagram about tokens. It returns false if p is none.
func (f *Fleet) receiveTokens(from string, p []byte) bool {
	if r, ok := decodeTokenRequest(p); ok {
		f.sendDatagram(from, f.listener.TokensRequested(f.opt.Now(), from, r).encode())
		return true
	}
	r, ok := decodeTokenReply(p)
	if ok {
		f.listener.TokensGranted(f.opt.Now(), r)
	}
	return ok
}

// allocators returns the addresses of the leaders of all data centres, sorted.
func (t *Table) allocators(now time.Duration) []string {
	var out []string
	for _, list := range t.rolesAt(now).leaders {
		out = append(out, list...)
	}
	slices.Sort(out)
	return out
}

// allocatorsVersion returns a number that changes with the allocators.
func (t *Table) allocatorsVersion(now time.Duration) uint64 {
	t.rolesAt(now)
	return t.leadersVersion
}
