package attempt

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recordModel is the oracle of a Record: which keys ran, and which tries were
// told NotRun.
type recordModel struct {
	record  *Record
	now     time.Duration
	permits []Permit
	runs    map[string]int
	notRun  map[string]int
	// running holds the tries that wait for each key's end, the one that
	// runs first.
	running map[string][]int
}

// TestRecord checks that no key runs twice and no try told NotRun runs, in any
// order of tries, ends, expiry, overflow and late clock readings.
func TestRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &recordModel{
			record: NewRecord(RecordLimits{Keys: 2, ReplyBytes: 4, Waiters: 2}),
			runs:   map[string]int{}, notRun: map[string]int{}, running: map[string][]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"permit": m.permit, "begin": m.begin, "begin 2": m.begin, "end": m.end, "time": m.time,
			"": func(t *rapid.T) {
				if m.record.Len() > 2 || len(m.record.byTime) > 2 || m.record.bytes > 4 || m.record.bytes < 0 {
					t.Fatalf("bounds passed: %d keys, %d bytes", m.record.Len(), m.record.bytes)
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
		if told, ok := m.notRun[key]; m.runs[key] > 1 || ok && n <= told {
			t.Fatalf("key %s: run %d under try %d, not-run up to %d", key, m.runs[key], n, told)
		}
		m.running[key] = []int{n}
	case Join:
		m.running[key] = append(m.running[key], n)
	case Tell:
		m.told(t, key, n, r.Outcome)
	}
}

func (m *recordModel) told(t *rapid.T, key string, n int, o Outcome) {
	if o != NotRun {
		return
	}
	if m.runs[key] > 0 {
		t.Fatalf("key %s was told not-run after it ran", key)
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
			t.Fatalf("key %s: %d of %d repeats returned", key, len(waiters), len(tries)-1)
		}
		for _, n := range tries {
			m.told(t, key, n, o)
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

func TestRecordRulings(t *testing.T) {
	p := Permit{Expires: time.Minute}
	first := Try{Key: "k", Permit: p, Number: 1, Digest: 1}
	tests := []struct {
		name  string
		ended Outcome
		reply *Reply
		now   time.Duration
		try   Try
		want  Ruling
	}{
		{"answered", Answered, &Reply{Status: 200}, 0, first, Ruling{Action: Tell, Outcome: Answered, Reply: &Reply{Status: 200}}},
		{"not kept", Answered, nil, 0, first, tell(Unknown, ReasonReplyNotKept)},
		{"too big to keep", Answered, &Reply{Body: make([]byte, MaxReply+1)}, 0, first, tell(Unknown, ReasonReplyNotKept)},
		{"unknown", Unknown, nil, 0, first, tell(Unknown, ReasonLost)},
		{"sealed", NotRun, nil, 0, first, tell(NotRun, ReasonNotRunEarlier)},
		{"higher try", NotRun, nil, 0, Try{Key: "k", Permit: p, Number: 2, Digest: 1}, Ruling{Action: Run}},
		{"other request", Answered, nil, 0, Try{Key: "k", Permit: p, Number: 1, Digest: 2}, tell(Unknown, ReasonKeyReused)},
		{"expired", NotRun, nil, time.Minute, first, tell(Unknown, ReasonPermitExpired)},
		{"too long", NotRun, nil, 0, Try{Key: "l", Permit: Permit{Expires: 2 * MaxLifetime}, Number: 1}, tell(Unknown, ReasonPermitTooLong)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRecord(DefaultRecordLimits)
			if got := r.Begin(0, first); got.Action != Run {
				t.Fatalf("first try: %+v", got)
			}
			why := ReasonLost
			if tt.ended == Answered {
				why = ""
			}
			r.End(0, "k", tt.ended, why, tt.reply)
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
