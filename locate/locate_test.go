package locate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/internal/fixedseed"
	"github.com/catkinrouter/catkinrouter/link"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func drawMember(t *rapid.T, i int) link.Member {
	return link.Member{
		ID: fmt.Sprint("instance-", i), DataCentre: rapid.SampledFrom([]string{"bole", "kirkos"}).Draw(t, "dc"),
		Region: rapid.SampledFrom([]string{"addis", "sierra-norte"}).Draw(t, "region"),
		Spare:  rapid.Float64Range(0, 1).Draw(t, "spare"), Leaving: rapid.Bool().Draw(t, "leaving"),
		Uptime: time.Minute,
	}
}

// TestChooseInvariants checks that every answer keeps the limits that callers
// and planned stops rely on.
func TestChooseInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []link.Member
		for i := range rapid.IntRange(1, 8).Draw(t, "members") {
			all = append(all, drawMember(t, i))
		}
		table := Table{Self: all[0], Members: all, Age: rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(2*MaxMembersAge)).Draw(t, "ns"))
		}).Draw(t, "age")}
		l := config.Lookup{Lifetime: config.Duration(10 * time.Second), Addresses: rapid.IntRange(1, 4).Draw(t, "addresses")}
		q := Query{DataCentre: rapid.SampledFrom([]string{"", "bole"}).Draw(t, "from")}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		a := Choose(q, table, l, rng)
		checkAnswer(t, a, table, l)
	})
}

func checkAnswer(t *rapid.T, a Answer, table Table, l config.Lookup) {
	usable := 0
	for _, m := range table.Members {
		if !m.Leaving && (m.ID == table.Self.ID || table.Age <= MaxMembersAge) {
			usable++
		}
	}
	if want := min(usable, l.Addresses); len(a.Choices) != want {
		t.Fatalf("%d choices, want %d", len(a.Choices), want)
	}
	if a.Lifetime > l.Lifetime.D() || a.Lifetime < l.Lifetime.D()/2 {
		t.Fatalf("lifetime %v", a.Lifetime)
	}
	seen := map[string]bool{}
	for _, c := range a.Choices {
		switch {
		case seen[c.Member.ID]:
			t.Fatalf("%s twice", c.Member.ID)
		case c.Member.Leaving:
			t.Fatalf("%s is leaving", c.Member.ID)
		case table.Age > MaxMembersAge && c.Member.ID != table.Self.ID:
			t.Fatalf("%s from a table of age %v", c.Member.ID, table.Age)
		case !(c.Weight > 0 && c.Weight <= 1):
			t.Fatalf("weight %v", c.Weight)
		}
		seen[c.Member.ID] = true
	}
}

// maxShareError is the largest allowed relative difference between an entry's
// share of calls and its share of spare capacity.
const maxShareError = 0.25

// TestShareOfCallsMatchesSpareCapacity checks that the calls of callers that
// follow the weights are spread by spare capacity, for answers that hold one,
// some or all of the entries.
func TestShareOfCallsMatchesSpareCapacity(t *testing.T) {
	spare := []float64{1, 0.75, 0.5, 0.25, 1, 0.75, 0.5, 0.25}
	sum := 0.0
	table := Table{}
	for i, s := range spare {
		sum += s
		table.Members = append(table.Members, link.Member{ID: fmt.Sprint(i), Spare: s})
	}
	table.Self = table.Members[0]
	for _, k := range []int{1, 3, 8} {
		rng := rand.New(rand.NewPCG(1, 1))
		share := map[string]float64{}
		const lookups = 20000
		for range lookups {
			a := Choose(Query{}, table, config.Lookup{Lifetime: config.Duration(time.Second), Addresses: k}, rng)
			total := 0.0
			for _, c := range a.Choices {
				total += c.Weight
			}
			for _, c := range a.Choices {
				share[c.Member.ID] += c.Weight / total / lookups
			}
		}
		for i, s := range spare {
			if d := math.Abs(share[fmt.Sprint(i)]*sum/s - 1); d > maxShareError {
				t.Errorf("%d addresses: entry %d has %.3f of the calls, %.3f of the spare capacity", k, i, share[fmt.Sprint(i)], s/sum)
			}
		}
	}
}
