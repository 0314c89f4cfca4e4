package fleet

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
)

// A datagram that is damaged, or is of another kind, must not be taken for tokens.
func FuzzDecodeTokens(f *testing.F) {
	f.Add(TokenRequest{Backup: true, Number: 3, Customer: 7, Want: 9, Waiting: 2, Refused: 1, LeaseMilli: 4000, LeaseSpent: 5}.encode())
	f.Add(TokenReply{Warming: true, Number: 3, Customer: 7, Granted: 9, LeaseMilli: 4000, AskAfterMillis: 20, RetryAfterMillis: 500}.encode())
	f.Add([]byte{tokenReplyFormat})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, p []byte) {
		request, isRequest := decodeTokenRequest(p)
		reply, isReply := decodeTokenReply(p)
		if isRequest && isReply {
			t.Errorf("%x is both a request and a reply", p)
		}
		if _, ok := decodeTokenRequest(request.encode()); isRequest && !ok {
			t.Errorf("%+v is not decoded", request)
		}
		if _, ok := decodeTokenReply(reply.encode()); isReply && !ok {
			t.Errorf("%+v is not decoded", reply)
		}
	})
}

// The largest values must pass unchanged, and fit the receive buffer.
func TestTokenDatagramsRoundTrip(t *testing.T) {
	request := TokenRequest{
		Format: tokenRequestFormat, Backup: true, Number: 1<<32 - 1, Customer: 1<<64 - 1, Want: 1<<16 - 1, Waiting: 1<<16 - 2,
		Refused: 1<<16 - 3, LeaseMilli: 1<<32 - 2, LeaseSpent: 1<<32 - 3,
	}
	if got, ok := decodeTokenRequest(request.encode()); !ok || got != request {
		t.Error(cmp.Diff(request, got))
	}
	reply := TokenReply{
		Format: tokenReplyFormat, Backup: true, Unknown: true, Warming: true, Partial: true, Number: 1<<32 - 1, Customer: 1<<64 - 1, Granted: 1<<16 - 1,
		LeaseMilli: 1<<32 - 2, AskAfterMillis: 1<<16 - 2, RetryAfterMillis: 1<<16 - 3,
	}
	if got, ok := decodeTokenReply(reply.encode()); !ok || got != reply {
		t.Error(cmp.Diff(reply, got))
	}
	if len(request.encode()) > maxDatagramBytes || len(reply.encode()) > maxDatagramBytes {
		t.Error("a datagram is longer than the receive buffer")
	}
}

// A request must be answered at the address that it came from, and the reply must reach the
// listener.
func TestTokensAreAnswered(t *testing.T) {
	listener := &recordingListener{values: map[string]string{}}
	f := New(Options{Self: info(1), Now: func() time.Duration { return time.Second }, Log: log.NewNopLogger()}, nil, listener)
	var to string
	var sent []byte
	f.send = func(a string, p []byte) { to, sent = a, p }
	f.handleDatagram("10.0.0.9:1", TokenRequest{Number: 4, Customer: 7, Want: 3}.encode())
	if to != "10.0.0.9:1" {
		t.Errorf("answered at %q", to)
	}
	f.handleDatagram("10.0.0.9:1", sent)
	if len(listener.granted) != 1 || listener.granted[0].Number != 4 || listener.granted[0].Granted != 3 {
		t.Errorf("received %+v", listener.granted)
	}
}

// All leaders must be in the view, and a leader that stops answering must leave it: the
// customers that it allocated would have no allocator.
func TestViewNamesAllocators(t *testing.T) {
	now := time.Second
	listener := &recordingListener{values: map[string]string{}}
	f := New(Options{Self: info(1), Now: func() time.Duration { return now }, Log: log.NewNopLogger()}, nil, listener)
	f.table.UpdateMember(now, info(2), State{Ready: true})
	f.tick()
	if want := []string{info(1).Address, info(2).Address}; !cmp.Equal(want, listener.view.Allocators) {
		t.Error(cmp.Diff(want, listener.view.Allocators))
	}
	for range 4 {
		now += HeartbeatInterval
		f.tick()
	}
	if want := []string{info(1).Address}; !cmp.Equal(want, listener.view.Allocators) {
		t.Error(cmp.Diff(want, listener.view.Allocators))
	}
}
