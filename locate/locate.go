// Package locate answers which entries a caller may use: a weighted subset of
// the live ones with a lifetime that differs from answer to answer. It does
// no I/O and reads no clock.
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

// Bounds that callers and planned stops rely on.
const (
	// MaxTableAge is the age of a Table past which an entry hands out
	// itself alone: its agent is gone.
	MaxTableAge = 3 * time.Second
	// HandOutLimit is how long after the begin of its planned stop an entry
	// may still be handed out by another that is cut off from its agent's
	// word: the time that drops a silent instance, and the age of a Table. An
	// entry may end once HandOutLimit and the lookup's lifetime have passed.
	HandOutLimit = 15 * time.Second
	// minLifetime is the shortest lifetime of an answer, as a share of the
	// one configured, which is the longest.
	minLifetime = 0.75
)

// Weights by place: how much likelier an entry of the caller's data centre or
// region is than one elsewhere.
const (
	sameDataCentre = 4
	sameRegion     = 1
	elsewhere      = 0.05
	// minSpare keeps a full entry from being left out for good.
	minSpare = 0.05
)

// Query tells where the caller is; both fields may be empty.
type Query struct {
	DataCentre string
	Region     string
}

// Table is what an entry knows of the entries.
type Table struct {
	// Self is the entry that answers.
	Self link.Member
	// Members are those that the agent sent last; Self may be among them.
	Members []link.Member
	// Age is the time since the agent sent them.
	Age time.Duration
}

// Choice is an entry that the caller may use.
type Choice struct {
	// Member is the entry; its Uptime is that of now.
	Member link.Member
	// Weight is the share of the caller's calls that should go there,
	// above 0; the largest of an answer is 1.
	Weight float64
}

// Answer is the answer to a lookup. Choices is empty where the caller should
// ask another entry.
type Answer struct {
	Choices []Choice
	// Lifetime is how long the caller may use the answer; it is never above
	// the one configured.
	Lifetime time.Duration
}

// Choose answers a lookup. It draws without replacement, after Efraimidis and
// Spirakis, "Weighted random sampling with a reservoir" (2006). The weights
// act in the draw where an answer holds few of the entries, and in the answer
// where it holds most, so that an entry's share of calls follows its weight
// in both.
func Choose(q Query, t Table, l config.Lookup, rng *rand.Rand) Answer {
	type drawn struct {
		Choice
		key float64
	}
	members := t.usable()
	k := min(len(members), max(l.Addresses, 1))
	inDraw := drawExponent(k, len(members))
	pool := make([]drawn, 0, len(members))
	for _, m := range members {
		w := max(m.Spare, minSpare) * q.near(m)
		c := Choice{Member: m, Weight: math.Pow(w, 1-inDraw)}
		pool = append(pool, drawn{c, rng.ExpFloat64() / math.Pow(w, inDraw)})
	}
	slices.SortFunc(pool, func(a, b drawn) int { return cmp.Compare(a.key, b.key) })
	a := Answer{Lifetime: lifetime(l.Lifetime.D(), rng)}
	top := 0.0
	for _, d := range pool[:k] {
		a.Choices = append(a.Choices, d.Choice)
		top = max(top, d.Weight)
	}
	for i := range a.Choices {
		a.Choices[i].Weight /= top
	}
	return a
}

// drawExponent returns the power of the weights in a draw of k out of n; the
// rest acts in the answer.
func drawExponent(k, n int) float64 {
	if n <= 1 {
		return 1
	}
	return 1 - float64(k-1)/float64(n-1)
}

func lifetime(longest time.Duration, rng *rand.Rand) time.Duration {
	share := minLifetime + (1-minLifetime)*rng.Float64()
	return time.Duration(float64(longest) * share)
}

// usable returns the entries that may be handed out, Self first.
func (t *Table) usable() []link.Member {
	var out []link.Member
	if !t.Self.Leaving {
		out = append(out, t.Self)
	}
	if t.Age > MaxTableAge {
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

func (q Query) near(m link.Member) float64 {
	switch {
	case q.DataCentre != "" && q.DataCentre == m.DataCentre:
		return sameDataCentre
	case q.Region == "" || q.Region == m.Region:
		return sameRegion
	}
	return elsewhere
}
