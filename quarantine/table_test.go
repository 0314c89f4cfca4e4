package quarantine

import (
	"encoding/binary"
	"encoding/json"
	"reflect"
	"testing"
	"time"
)

// ran is how long a request runs before the upstream crashes.
const ran = 100 * time.Millisecond

// numbered returns a Content for a number.
func numbered(n int) (c Content) {
	binary.BigEndian.PutUint64(c[:], uint64(n))
	return c
}

// crashAt returns a crash of a run that ended at a time.
func crashAt(content Content, upstream int, at time.Duration) Crash {
	return Crash{Content: content, Upstream: uint64(upstream), Began: at - ran, At: at}
}

// blockedAt reports whether the table blocks a request.
func blockedAt(t *Table, now time.Duration, content Content) bool {
	_, blocked := t.Blocked(now, content)
	return blocked
}

var (
	deadly   = numbered(1)
	innocent = numbered(2)
)

// record records crashes one after the other, 200 ms apart, and returns the time of
// the last.
func record(t *Table, now time.Duration, content Content, upstreams ...int) time.Duration {
	for _, u := range upstreams {
		now += 200 * time.Millisecond
		t.RecordCrash(now, crashAt(content, u, now))
	}
	return now
}

func TestQuarantineAfterThreeCrashes(t *testing.T) {
	q := New()
	now := record(q, time.Second, deadly, 1, 2)
	if blockedAt(q, now, deadly) {
		t.Fatal("blocked after two crashes")
	}
	now = record(q, now, deadly, 3)
	until, blocked := q.Blocked(now, deadly)
	if !blocked || until != now+settleTime {
		t.Errorf("after three crashes blocked %t until %v", blocked, until-now)
	}
	now += settleTime
	until, blocked = q.Blocked(now, deadly)
	if !blocked || until != now+quarantineTerm {
		t.Errorf("decided: blocked %t for %v", blocked, until-now)
	}
	if d := q.TakeDecisions(); len(d) != 1 || d[0] != (Decision{Content: deadly, Crashes: 3}) {
		t.Errorf("decisions %+v", d)
	}
	if blockedAt(q, now, innocent) {
		t.Error("another request is blocked")
	}
}

// A request that ran beside the one that crashes upstreams was blamed with it.
func TestRequestBesideCrashingOneIsServed(t *testing.T) {
	for name, first := range map[string]Content{"reported first": innocent, "reported last": deadly} {
		t.Run(name, func(t *testing.T) {
			q := New()
			now := record(q, time.Second, deadly, 1)
			for u := 2; u <= 4; u++ {
				now += 200 * time.Millisecond
				second := innocent
				if first == innocent {
					second = deadly
				}
				q.RecordCrash(now, crashAt(first, u, now))
				q.RecordCrash(now+time.Millisecond, crashAt(second, u, now))
			}
			now += 2 * time.Millisecond
			if !blockedAt(q, now, deadly) || blockedAt(q, now, innocent) {
				t.Errorf("held back: the crashing one %t, the other %t", blockedAt(q, now, deadly), blockedAt(q, now, innocent))
			}
			now += settleTime
			if !blockedAt(q, now, deadly) || blockedAt(q, now, innocent) {
				t.Errorf("blocked: the crashing one %t, the other %t", blockedAt(q, now, deadly), blockedAt(q, now, innocent))
			}
		})
	}
}

// Reports of crashes that come after the decision must not blame what ran beside.
func TestLateReportsBlameOnlyTheQuarantined(t *testing.T) {
	q := New()
	now := record(q, time.Second, deadly, 1, 2, 3) + settleTime
	if !blockedAt(q, now, deadly) {
		t.Fatal("not quarantined")
	}
	for u := 4; u <= 8; u++ {
		now += 200 * time.Millisecond
		q.RecordCrash(now, crashAt(innocent, u, now))
		q.RecordCrash(now+time.Millisecond, crashAt(deadly, u, now))
	}
	if now += settleTime; blockedAt(q, now, innocent) {
		t.Error("a request that ran beside is blocked")
	}
}

// Upstreams that crash at the same moment, such as those of one rack, say nothing
// about a request that ran at all of them.
func TestCrashesAtOnceBlameNoRequest(t *testing.T) {
	q := New()
	now := 10 * time.Second
	for u := range 9 {
		q.RecordCrash(now, crashAt(innocent, u, now))
		now += time.Millisecond
	}
	if now += settleTime; blockedAt(q, now, innocent) {
		t.Error("blocked")
	}
}

// A request that ran at upstreams which crash in any case was blamed for it; one that
// crashes them all the same must not go on for long.
func TestCrashesWithoutRequestAskForMore(t *testing.T) {
	q := New()
	now := time.Second
	others := 1000
	crashOther := func() {
		others++
		now += 50 * time.Millisecond
		q.RecordCrash(now, crashAt(numbered(others), others, now))
	}
	for u := 1; u <= 4; u++ {
		crashOther()
		crashOther()
		now = record(q, now, deadly, u)
		if q.Settle(now + settleTime); blockedAt(q, now+settleTime, deadly) {
			t.Fatalf("blocked after %d crashes while twice as many upstreams crashed without it", u)
		}
	}
	now = record(q, now, deadly, 5) + settleTime
	if !blockedAt(q, now, deadly) {
		t.Error("not blocked after five crashes")
	}
}

// A request that is answered is not to blame, whichever upstreams crash under it.
func TestAnsweredRequestIsNotQuarantined(t *testing.T) {
	q := New()
	now := time.Second
	for u := range 30 {
		now = record(q, now, innocent, u)
		if u%2 == 1 && !q.RecordAnswer(now, now, innocent) {
			t.Fatal("the answer clears no suspicion")
		}
		if blockedAt(q, now, innocent) {
			t.Fatalf("blocked after crash %d", u)
		}
	}
}

// An answer that arrives while the request is held back, or later, lifts that.
func TestAnswerLiftsQuarantine(t *testing.T) {
	for _, wait := range []time.Duration{0, settleTime, time.Minute} {
		q := New()
		now := record(q, time.Second, innocent, 1, 2, 3) + wait
		if !blockedAt(q, now, innocent) || !q.RecordAnswer(now, now, innocent) || blockedAt(q, now, innocent) {
			t.Errorf("answered %v after the third crash: still blocked", wait)
		}
		if q.RecordAnswer(now, now, innocent) {
			t.Error("a second answer is news")
		}
		record(q, now, innocent, 4, 5, 6, 7, 8)
		if now += time.Minute; !blockedAt(q, now, innocent) {
			t.Error("not quarantined again after more crashes")
		}
	}
}

// Two requests that always ran beside each other are told apart by the next crash,
// and neither goes on for ever.
func TestRequestsAlwaysBesideEachOther(t *testing.T) {
	q := New()
	now := time.Second
	both := func(u int) {
		now += 200 * time.Millisecond
		q.RecordCrash(now, crashAt(deadly, u, now))
		q.RecordCrash(now, crashAt(innocent, u, now))
	}
	for u := range 3 {
		both(u)
	}
	if now += settleTime; blockedAt(q, now, deadly) || blockedAt(q, now, innocent) {
		t.Error("blocked although either may be to blame")
	}
	now = record(q, now, deadly, 3)
	if now += settleTime; !blockedAt(q, now, deadly) || blockedAt(q, now, innocent) {
		t.Error("the next crash does not tell them apart")
	}
	q = New()
	for u := range tieCrashes + 1 {
		both(u)
		now += settleTime
		q.Settle(now)
	}
	if !blockedAt(q, now, deadly) {
		t.Error("not quarantined after many crashes")
	}
}

// One crash after the end of a quarantine begins the next one.
func TestQuarantineEndsOnProbation(t *testing.T) {
	q := New()
	now := record(q, time.Second, deadly, 1, 2, 3) + settleTime
	if !blockedAt(q, now, deadly) {
		t.Fatal("not quarantined")
	}
	now += quarantineTerm
	if q.Expire(now); blockedAt(q, now, deadly) {
		t.Fatal("no end")
	}
	if now = record(q, now, deadly, 4); !blockedAt(q, now, deadly) {
		t.Error("not quarantined after a crash on probation")
	}
	now += quarantineTerm + probationTerm
	if q.Expire(now); !q.Empty() {
		t.Error("never forgotten")
	}
}

// Decisions that instances share must reach the same state in any order, and older
// ones must not replace newer ones.
func TestSharedDecisions(t *testing.T) {
	wall := time.UnixMilli(1_700_000_000_000)
	a := New()
	now := record(a, time.Second, deadly, 1, 2, 3) + settleTime
	quarantined := a.Entries(now, wall)
	a.RecordAnswer(now, now, deadly)
	lifted := a.Entries(now, wall)
	if !Missing(lifted, quarantined) || Missing(quarantined, lifted) || Missing(lifted, lifted) || !Missing(lifted, nil) {
		t.Errorf("Missing does not order %+v and %+v", quarantined, lifted)
	}
	// The other instance started later, and its time of day is 2 s behind.
	b := New()
	b.Merge(0, wall.Add(-2*time.Second), quarantined)
	if until, blocked := b.Blocked(0, deadly); !blocked || until > quarantineTerm {
		t.Errorf("blocked %t until %v", blocked, until)
	}
	b.Merge(0, wall, lifted)
	b.Merge(0, wall, quarantined)
	if blockedAt(b, 0, deadly) {
		t.Error("an older decision replaced a newer one")
	}
	value, err := Encode(quarantined)
	if err != nil {
		t.Fatal(err)
	}
	if back, err := Decode(value); err != nil || !reflect.DeepEqual(back, quarantined) {
		t.Errorf("decoded %+v, %v", back, err)
	}
}

// What upstreams and callers cause must not grow without limit, and the newest
// quarantine must hold at the limit.
func TestTableIsBounded(t *testing.T) {
	q := New()
	now := time.Second
	for i := range 3 * MaxEntries {
		now = record(q, now, numbered(i), 3*i, 3*i+1, 3*i+2) + settleTime
		q.Settle(now)
	}
	for i := range 3 * maxSuspects {
		now += time.Millisecond
		q.RecordCrash(now, crashAt(numbered(1_000_000+i), i, now))
	}
	for u := range 100 {
		q.RecordCrash(now, crashAt(innocent, u, now))
	}
	if len(q.entries) > MaxEntries || len(q.suspects) > maxSuspects || len(q.crashed) > maxCrashedUpstreams || len(q.suspects[innocent].crashes) > maxCrashesPerSuspect {
		t.Errorf("%d entries, %d suspects, %d crashed upstreams", len(q.entries), len(q.suspects), len(q.crashed))
	}
	if !blockedAt(q, now, numbered(3*MaxEntries-1)) {
		t.Error("the newest quarantine was dropped")
	}
	value, err := Encode(q.Entries(now, time.Now()))
	if err != nil || len(value) > maxSharedBytes {
		t.Errorf("%d bytes shared, %v", len(value), err)
	}
	if _, err := Decode(value); err != nil {
		t.Error(err)
	}
}

// Any value in the store must be handled: it may come from another writer.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[{"content":"00000000000000010000000000000000","sequence":1,"until_unix_ms":1700000000000}]`))
	f.Add([]byte(`[{"content":"x"}]`))
	f.Add([]byte(`{"content":7}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		entries, err := Decode(value)
		q := New()
		q.Merge(time.Second, time.UnixMilli(1_700_000_000_000), entries)
		if err != nil && !q.Empty() {
			t.Error("entries taken from a value that can't be decoded")
		}
		for _, e := range entries {
			if until, blocked := q.Blocked(time.Second, e.Content); blocked && until > time.Second+quarantineTerm {
				t.Errorf("blocked for %v", until)
			}
		}
		if _, err := json.Marshal(q.Entries(time.Second, time.Now())); err != nil {
			t.Error(err)
		}
	})
}
