// Package locate decides which entries a lookup returns: a weighted random
// subset of the live ones, with a lifetime that differs between answers. The
// package does no I/O and reads no clock.
package locate

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/link"
)

// Limits that callers and planned stops rely on.
const (
	// MaxMembersAge is the age above which the members of a Table are not used:
	// the answering entry has lost its agent and returns only itself.
	MaxMembersAge = 3 * time.Second
	// StaleLookupLimit is how long after the start of its planned stop an entry
	// may still be returned by another entry that has lost its agent, or has
	// an agent that has lost contact with the fleet: the time within which
	// agents drop a silent instance, plus MaxMembersAge. An entry may exit
	// once StaleLookupLimit and the lookup's lifetime have passed.
	StaleLookupLimit = 15 * time.Second
	// minLifetimeShare is the shortest lifetime of an answer, as a share of
	// the configured one, which is the longest.
	minLifetimeShare = 0.75
)

// Relative weights of entries by location: in the caller's data centre, in its
// region, or in another region.
const (
	weightSameDataCentre = 4
	weightSameRegion     = 1
	weightElsewhere      = 0.05
	// minSpare is the smallest spare capacity that is assumed, so that a full
	// entry is not excluded for good.
	minSpare = 0.05
)

// Query is the caller's location; both fields may be empty.
type Query struct {
	DataCentre string
	Region     string
}

// Table is what the answering entry knows about the entries.
type Table struct {
	// Self is the entry that answers.
	Self link.Member
	// Members are the entries that the agent sent last; Self may be among
	// them.
	Members []link.Member
	// Age is the time since the agent sent Members.
	Age time.Duration
}

// Choice is an entry that the caller may use.
type Choice struct {
	// Member is the entry; its Uptime is the current one.
	Member link.Member
	// Weight is proportional to the share of the caller's calls that should go
	// to the entry: above 0, and 1 for the largest of an answer.
	Weight float64
}

// Answer is the answer to a lookup. Choices is empty if this entry can return
// none, and the caller should query another entry.
type Answer struct {
	Choices []Choice
	// Lifetime is how long the caller may use the answer; at most the
	// configured lifetime.
	Lifetime time.Duration
}

// Choose answers a lookup. It draws entries without replacement, after
// Efraimidis and Spirakis, "Weighted random sampling with a reservoir" (2006).
// The weights are applied in the draw if an answer holds few of the entries,
// and in Choice.Weight if it holds most, so that an entry's share of calls
// follows its weight in both cases.
func Choose(q Query, t Table, l config.Lookup, rng *rand.Rand) Answer {
	type candidate struct {
		Choice
		key float64
	}
	members := t.usable()
	k := min(len(members), max(l.Addresses, 1))
	drawPower := drawExponent(k, len(members))
	candidates := make([]candidate, 0, len(members))
	for _, m := range members {
		w := max(m.Spare, minSpare) * q.placeWeight(m)
		c := Choice{Member: m, Weight: math.Pow(w, 1-drawPower)}
		candidates = append(candidates, candidate{c, rng.ExpFloat64() / math.Pow(w, drawPower)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.key, b.key) })
	a := Answer{Lifetime: randomLifetime(l.Lifetime.D(), rng)}
	maxWeight := 0.0
	for _, d := range candidates[:k] {
		a.Choices = append(a.Choices, d.Choice)
		maxWeight = max(maxWeight, d.Weight)
	}
	for i := range a.Choices {
		a.Choices[i].Weight /= maxWeight
	}
	return a
}

// drawExponent returns the exponent of the weights in a draw of k out of n
// entries; the rest of the exponent, up to 1, is applied in Choice.Weight.
func drawExponent(k, n int) float64 {
	if n <= 1 {
		return 1
	}
	return 1 - float64(k-1)/float64(n-1)
}

// randomLifetime returns a random lifetime between minLifetimeShare of the
// longest and the longest.
func randomLifetime(longest time.Duration, rng *rand.Rand) time.Duration {
	share := minLifetimeShare + (1-minLifetimeShare)*rng.Float64()
	return time.Duration(float64(longest) * share)
}

// usable returns the entries that may be returned, Self first.
func (t *Table) usable() []link.Member {
	var out []link.Member
	if !t.Self.Leaving {
		out = append(out, t.Self)
	}
	if t.Age > MaxMembersAge {
		return out
	}
	for _, m := range t.Members {
		if m.Leaving || m.ID == t.Self.ID {
			continue
		}
		m.Uptime += t.Age
		out = append(out, m)
	}
	return out
}

// placeWeight returns the weight of m's location relative to the caller. An
// unknown region counts as the same region.
func (q Query) placeWeight(m link.Member) float64 {
	switch {
	case q.DataCentre != "" && q.DataCentre == m.DataCentre:
		return weightSameDataCentre
	case q.Region == "" || q.Region == m.Region:
		return weightSameRegion
	}
	return weightElsewhere
}
