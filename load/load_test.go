package load

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/proxy"
	"github.com/catkinrouter/catkinrouter/settings"
)

func TestScenarioErrorsNameKeyAndRemedy(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown key", `{"entrys": []}`, "remove the key"},
		{"no entries", `{"duration": "1s", "timeout": "1s", "calls": [{"service": "a", "rate": 1}]}`, `key "entries" is empty`},
		{"rate and load", `{"entries": ["127.0.0.1:1"], "duration": "1s", "timeout": "1s", "calls": [{"service": "a"}]}`, "set either rate or load"},
		{"load without control", `{"entries": ["127.0.0.1:1"], "duration": "1s", "timeout": "1s", "calls": [{"service": "a", "load": 0.5}]}`, `load needs the key "control"`},
		{"bad duration", `{"duration": 3}`, "write it like"},
		{"fault without end", `{"entries": ["127.0.0.1:1"], "control": "127.0.0.1:2", "duration": "1s", "timeout": "1s", "calls": [{"service": "a", "rate": 1}], "faults": [{"upstream": "a-1"}]}`, `set "for"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := settings.Parse("load.json", []byte(tt.text), &Scenario{})
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want it to contain %q", err, tt.want)
			}
		})
	}
}

func TestSwingIsLinearBetweenPoints(t *testing.T) {
	m := CallMix{Swing: []SwingPoint{{0, 0.2}, {config.Duration(time.Second), 1.2}}}
	for at, want := range map[time.Duration]float64{0: 0.2, 500 * time.Millisecond: 0.7, time.Second: 1.2, time.Minute: 1.2} {
		if got := m.factor(at); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("factor(%v) = %v, want %v", at, got, want)
		}
	}
}

func TestLedgerCheckCountsEachViolation(t *testing.T) {
	var l LedgerCheck
	l.check(
		map[string]string{"twice": "answered", "ran": "not-run", "never": "answered", "fine": "answered", "unknown": "unknown"},
		map[string]int{"twice": 2, "ran": 1, "fine": 1, "unknown": 1},
	)
	want := LedgerCheck{Keys: 5, RanTwice: 1, NotRunButRan: 1, AnsweredNeverRan: 1}
	if l != want {
		t.Errorf("got %+v, want %+v", l, want)
	}
}

func TestChooseByWeightExcludesAddress(t *testing.T) {
	c := &caller{rng: rand.New(rand.NewPCG(1, 1))}
	a := cachedLookup{addresses: []proxy.LookupAddress{{Address: "a", Weight: 0.9}, {Address: "b", Weight: 0.1}}}
	for range 100 {
		if got := c.chooseByWeight(a, "a"); got.address != "b" {
			t.Fatalf("got address %s, want b", got.address)
		}
	}
}

func TestCompareTakesMediansAndSpread(t *testing.T) {
	run := func(p99 int64) *Result { return &Result{Rows: []*Row{{P99: p99, Calls: 1, Answered: 1}}} }
	got := newCell("m", "v", 0, []*Result{run(50), run(80), run(60)}, []*Result{run(100), run(100), run(100)})
	if got.P99 != 60 || got.Ratio != 0.6 || got.RatioMin != 0.5 || got.RatioMax != 0.8 {
		t.Errorf("got %+v", got)
	}
}
