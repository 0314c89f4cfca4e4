package attempt

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recordModel is the test oracle of a Record: it tracks which keys ran and which
// tries were answered with NotRun.
type recordModel struct {
	record  *Record
	now     time.Duration
	permits []Permit
	// runs is the number of runs per key that did not end with NotRun.
	runs map[string]int
	// notRun is the highest try per key that was answered with NotRun.
	notRun map[string]int
	// running holds the tries of each key in flight: first the one that runs,
	// then those that joined it.
	running map[string][]int
}

// TestRecord checks that no key runs twice and that no try answered with NotRun
// runs, for random sequences of tries, ends, expiry, overflow and late clock
// readings.
func TestRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &recordModel{
			record: NewRecord(RecordLimits{Keys: 2, ReplyBytes: 4, Waiters: 2}),
			runs:   map[string]int{}, notRun: map[string]int{}, running: map[string][]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"permit": m.permit, "begin": m.begin, "begin 2": m.begin, "end": m.end, "time": m.time,
			"": func(t *rapid.T) {
				if m.record.Len() > 2 || len(m.record.byExpiry) > 2 || m.record.replyBytes > 4 || m.record.replyBytes < 0 {
					t.Fatalf("out of bounds: %d keys, %d reply bytes", m.record.Len(), m.record.replyBytes)
				}
			},
		})
	})
}

func (m *recordModel) permit(*rapid.T) {
	m.permits = append(m.permits, Permit{Expires: m.now + 10*time.Second})
}

func (m *recordModel) begin(t *rapid.T) {
	if len(m.permits) == 0 {
		return
	}
	i := rapid.IntRange(max(0, len(m.permits)-4), len(m.permits)-1).Draw(t, "permit")
	key := fmt.Sprint(i)
	n := rapid.IntRange(1, 3).Draw(t, "try")
	lag := rapid.SampledFrom([]time.Duration{0, 0, 5 * time.Second, 20 * time.Second}).Draw(t, "lag")
	r := m.record.Begin(m.now-lag, Try{Key: key, Permit: m.permits[i], Number: n, Waiter: uint64(n)})
	switch r.Action {
	case Run:
		m.runs[key]++
		if fencedTry, ok := m.notRun[key]; m.runs[key] > 1 || ok && n <= fencedTry {
			t.Fatalf("key %s: run %d by try %d, tries up to %d were answered not-run", key, m.runs[key], n, fencedTry)
		}
		m.running[key] = []int{n}
	case Join:
		m.running[key] = append(m.running[key], n)
	case Respond:
		m.answered(t, key, n, r.Outcome)
	}
}

func (m *recordModel) answered(t *rapid.T, key string, n int, o Outcome) {
	if o != NotRun {
		return
	}
	if m.runs[key] > 0 {
		t.Fatalf("key %s was answered not-run after it ran", key)
	}
	m.notRun[key] = max(m.notRun[key], n)
}

func (m *recordModel) end(t *rapid.T) {
	for _, key := range slices.Sorted(maps.Keys(m.running)) {
		tries := m.running[key]
		o := rapid.SampledFrom([]Outcome{Answered, NotRun, NotRun, Unknown}).Draw(t, "outcome")
		if o == NotRun {
			m.runs[key]--
		}
		waiters := m.record.End(m.now, key, o, ReasonShed, &Reply{Body: []byte("abc")})
		if len(waiters) != len(tries)-1 {
			t.Fatalf("key %s: End returned %d of %d waiters", key, len(waiters), len(tries)-1)
		}
		for _, n := range tries {
			m.answered(t, key, n, o)
		}
	}
	clear(m.running)
}

func (m *recordModel) time(t *rapid.T) {
	m.now += rapid.SampledFrom([]time.Duration{time.Second, 4 * time.Second, 11 * time.Second}).Draw(t, "time")
	if rapid.Bool().Draw(t, "expire") {
		m.record.Expire(m.now, 8)
	}
}

func TestRecordDecisions(t *testing.T) {
	p := Permit{Expires: time.Minute}
	first := Try{Key: "k", Permit: p, Number: 1, Digest: 1}
	tests := []struct {
		name  string
		ended Outcome
		reply *Reply
		now   time.Duration
		try   Try
		want  Decision
	}{
		{"answered", Answered, &Reply{Status: 200}, 0, first, Decision{Action: Respond, Outcome: Answered, Reply: &Reply{Status: 200}}},
		{"no reply", Answered, nil, 0, first, respond(Unknown, ReasonReplyNotKept)},
		{"reply too large", Answered, &Reply{Body: make([]byte, MaxReplyBytes+1)}, 0, first, respond(Unknown, ReasonReplyNotKept)},
		{"unknown", Unknown, nil, 0, first, respond(Unknown, ReasonLost)},
		{"fenced", NotRun, nil, 0, first, respond(NotRun, ReasonNotRunEarlier)},
		{"higher try", NotRun, nil, 0, Try{Key: "k", Permit: p, Number: 2, Digest: 1}, Decision{Action: Run}},
		{"other request", Answered, nil, 0, Try{Key: "k", Permit: p, Number: 1, Digest: 2}, respond(Unknown, ReasonKeyReused)},
		{"expired", NotRun, nil, time.Minute, first, respond(Unknown, ReasonPermitExpired)},
		{"lifetime too long", NotRun, nil, 0, Try{Key: "l", Permit: Permit{Expires: 2 * MaxLifetime}, Number: 1}, respond(Unknown, ReasonPermitTooLong)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRecord(DefaultRecordLimits)
			if got := r.Begin(0, first); got.Action != Run {
				t.Fatalf("first try: %+v", got)
			}
			reason := ReasonLost
			if tt.ended == Answered {
				reason = ""
			}
			r.End(0, "k", tt.ended, reason, tt.reply)
			got := r.Begin(tt.now, tt.try)
			if got.Action != tt.want.Action || got.Outcome != tt.want.Outcome || got.Reason != tt.want.Reason {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
			if (got.Reply == nil) != (tt.want.Reply == nil) {
				t.Errorf("got reply %v, want %v", got.Reply, tt.want.Reply)
			}
		})
	}
}
