package fleet

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/catkinrouter/catkinrouter/internal/panics"
	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/store"
)

// agingFleet is a Fleet on clocks that the test sets.
type agingFleet struct {
	*Fleet
	now, slept time.Duration
}

func newAgingFleet() *agingFleet {
	a := &agingFleet{now: 10 * time.Second}
	a.Fleet = New(Options{
		Self: info(1), Now: func() time.Duration { return a.now }, Elapsed: func() time.Duration { return a.now + a.slept },
		Log: log.NewNopLogger(), Guard: panics.Guard{Log: log.NewNopLogger()}, OnStoreCall: func(string) {},
	}, nil, &recordingListener{values: map[string]string{}})
	return a
}

// Elapsed returns the time with the suspension.
func (a *agingFleet) Elapsed() time.Duration { return a.now + a.slept }

// read makes the result of a watch known that began at a time and waited for a second.
func (a *agingFleet) read(began time.Duration, revision store.Revision, items ...mirror.Item) {
	a.handleReadResult(dueRead{kind: callWatch, wait: time.Second, began: began}, mirror.Delta{Base: a.copy.Revision(), Full: a.copy.Revision() == 0, Revision: revision, Items: items}, nil)
}

func (a *agingFleet) wantAge(t *testing.T, what string, want time.Duration) {
	t.Helper()
	if got := a.CopyAge(); got != want {
		t.Errorf("%s: age %v, want %v", what, got, want)
	}
}

// A copy that was never confirmed passed for as old as the process, so that a restarted
// instance took its first copy for a new one.
func TestUnconfirmedCopyHasNoAge(t *testing.T) {
	a := newAgingFleet()
	a.wantAge(t, "at the start", AgeUnknown)
	a.read(9*time.Second, 5)
	a.wantAge(t, "after the first copy", 0)
	a.now += 700 * time.Millisecond
	a.wantAge(t, "later", 700*time.Millisecond)
}

// Between the end of a suspension and the next tick, the copy passed for new. What was in the
// sockets when it began must not confirm the copy either.
func TestSuspensionCountsAtOnce(t *testing.T) {
	a := newAgingFleet()
	a.read(9*time.Second, 5)
	a.slept, a.now = time.Minute, a.now+50*time.Millisecond
	a.wantAge(t, "before the tick", time.Minute+50*time.Millisecond)
	if age := a.newHeartbeat(unusedAddress, 0).ProvenAgeMillis; age < 60_000 {
		t.Errorf("heartbeat names an age of %d ms", age)
	}
	a.read(9500*time.Millisecond, 5) // the store answered at 10.5 s
	a.wantAge(t, "after a reply from before the suspension", a.Elapsed()-10500*time.Millisecond)
	a.now += time.Second
	a.read(a.Elapsed()-time.Second/2, 5)
	if age := a.CopyAge(); age > time.Second {
		t.Errorf("a read after the suspension leaves the copy %v old", age)
	}
}

// A store that came back from an older copy holds keys that were withdrawn since. An instance
// that starts then must not take it for complete before a peer could tell of a newer one.
func TestFirstCopyCountsAfterASync(t *testing.T) {
	for _, synced := range []bool{true, false} {
		a := newAgingFleet()
		a.now = 100 * time.Millisecond
		a.read(50*time.Millisecond, 5)
		a.wantAge(t, "before a sync", AgeUnknown)
		want := firstSyncWait
		if synced {
			want = 300 * time.Millisecond
			a.now = want
			a.handleSyncReply(info(2).Address, &SyncArgs{MembersOnly: true}, a.now, &SyncReply{Info: info(2)}, nil)
		} else {
			a.now = want - 1
			a.tick()
			a.wantAge(t, "alone, before firstSyncWait", AgeUnknown)
			a.now = want
			a.tick()
		}
		a.wantAge(t, "after it", want-100*time.Millisecond)
	}
}

// A process that stood still finds old replies in its sockets: they confirmed the copy as of
// the moment at which it woke.
func TestOldRepliesConfirmNothingNew(t *testing.T) {
	a := newAgingFleet()
	a.read(9*time.Second, 5)
	a.now += 20 * time.Second
	a.read(10*time.Second, 5)
	a.wantAge(t, "watch without changes", 19*time.Second)
	a.read(10500*time.Millisecond, 6, mirror.Item{Key: "k", Revision: 6})
	a.wantAge(t, "watch with a change", 19*time.Second)
	a.read(11500*time.Millisecond, 7, mirror.Item{Key: "k", Revision: 7})
	a.wantAge(t, "later watch with a change", 18500*time.Millisecond)
	// The peer's clock is 100 s ahead of this one.
	const ahead = 100 * time.Second
	beat := heartbeat{Format: heartbeatFormat, Incarnation: 1, Revision: 7, AgeMillis: 300, ProvenAgeMillis: 300, SentAt: ahead + 11*time.Second}
	a.table.UpdateMember(a.now, info(2), State{})
	a.handleDatagram(info(2).Address, beat.encode())
	a.wantAge(t, "heartbeat of a peer whose clock is unknown", 18500*time.Millisecond)
	beat.EchoIncarnation, beat.EchoSentAt, beat.EchoReceivedAt = info(1).Incarnation, 10*time.Second, ahead+10*time.Second
	a.handleDatagram(info(2).Address, beat.encode())
	a.wantAge(t, "heartbeat that waited", 18500*time.Millisecond)
	beat.SentAt = ahead + a.now
	a.handleDatagram(info(2).Address, beat.encode())
	if age, want := a.CopyAge(), 300*time.Millisecond; age < want || age > want+time.Duration(maxClockDrift*float64(20*time.Second)) {
		t.Errorf("heartbeat: age %v, want %v and what clocks may drift in 20 s", age, want)
	}
}

// The reply to a watch that waited while the process stood still confirmed the copy as of now, and
// so a hub that woke kept the others from reading the store.
func TestReplyFromBeforeAStandstillConfirmsNothingNew(t *testing.T) {
	for _, items := range [][]mirror.Item{nil, {{Key: "k", Revision: 6}}} {
		a := newAgingFleet()
		a.tick()
		a.read(9*time.Second, 5)
		began := a.now
		a.now += 4 * time.Second
		a.read(began, 6, items...)
		least := 3 * time.Second // the watch waited for a second at most
		if age := a.Status().CopyAge; age < least {
			t.Errorf("%d changes: the copy was confirmed %v ago, want %v or more", len(items), age, least)
		}
		if age := a.newHeartbeat(unusedAddress, 0).AgeMillis; age < ageMillis(least) {
			t.Errorf("%d changes: peers are told of a confirmation %d ms ago", len(items), age)
		}
		a.tick()
		began = a.now
		a.now += 800 * time.Millisecond
		a.read(began, 7)
		if age := a.Status().CopyAge; age > 0 {
			t.Errorf("a reply without a standstill confirms the copy as of %v ago", age)
		}
	}
}

// With a bound of 2 s for keys, instances read the store at 1 s and hubs watch for 0.5 s: no
// copy may come near 1.2 s, from which an instance is not ready, while the store answers.
func TestCopiesStayReadyForKeys(t *testing.T) {
	const unreadyFrom = 1200 * time.Millisecond
	for _, count := range []int{30, 471} {
		for _, pause := range []time.Duration{100 * time.Millisecond, 480 * time.Millisecond, time.Hour} {
			if count > 100 && pause < 200*time.Millisecond {
				continue // the smaller fleet shows it, in less time
			}
			s := newSimulation(count, 3)
			s.maxProvenAge, s.watchWait = time.Second, 500*time.Millisecond
			s.startAll(60)
			s.RunUntil(s.Now + 3*time.Second)
			oldest, calls, began, changed := time.Duration(0), s.calls, s.Now, s.Now
			for s.Now < began+5*time.Second {
				if s.Now-changed >= pause {
					s.put("upstream-0", s.Now.String())
					changed = s.Now
				}
				s.RunUntil(s.Now + 20*time.Millisecond)
				for _, in := range s.instances {
					oldest = max(oldest, in.f.CopyAge())
				}
			}
			rate := (s.calls - calls) / (s.Now - began).Seconds()
			t.Logf("%d instances, a change each %v: oldest copy %v, %.1f store calls a second", count, pause, oldest, rate)
			if oldest >= unreadyFrom || rate > maxCallsPerSecond {
				t.Errorf("%d instances, a change each %v: oldest copy %v, %.1f store calls a second", count, pause, oldest, rate)
			}
		}
	}
}
