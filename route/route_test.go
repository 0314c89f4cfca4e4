package route

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/internal/fixedseed"

	"github.com/catkinrouter/catkinrouter/customer"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func TestMatchLongestPrefix(t *testing.T) {
	part := []Part{{Service: "s", Weight: 1}}
	doc := &Document{Version: 3, Rules: []Rule{
		{Name: "all", Host: "Hunts.example", Prefix: "/", Parts: part},
		{Name: "clues", Host: "hunts.example", Prefix: "/clues/", Parts: part},
		{Name: "last", Host: "hunts.example", Prefix: "/clues/last/", Parts: part},
		{Name: "other", Host: "other.example", Prefix: "/clues/", Parts: part},
	}}
	table := NewTable(doc, rng(1))
	for _, c := range []struct{ host, path, want string }{
		{"hunts.example", "/clues/last/1", "last"},
		{"hunts.example", "/clues/last", "clues"},
		{"hunts.example:8080", "/clues/1", "clues"},
		{"HUNTS.example", "/cluesx/1", "all"},
		{"other.example", "/clues/1", "other"},
		{"other.example", "/", ""},
		{"nobody.example", "/clues/1", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s matched route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Each part of a traffic split must get a share of the requests close to its
// weight, at each instance and in total, for any number of instances and also
// with few requests at each.
func TestSplitFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 100), 2, 4).Draw(t, "weights")
		instances := rapid.IntRange(1, 20).Draw(t, "instances")
		perInstance := rapid.IntRange(10, 60).Draw(t, "requests at each")
		var parts []Part
		total := 0
		for i, w := range weights {
			parts = append(parts, Part{Service: string(rune('a' + i)), Weight: float64(w)})
			total += w
		}
		counts := map[string]int{}
		for i := range instances {
			r := newRoute(Rule{Parts: parts}, rng(uint64(i)))
			instanceCounts := map[string]int{}
			for range perInstance {
				instanceCounts[r.NextService()]++
			}
			for _, p := range parts {
				expected := float64(perInstance) * p.Weight / float64(total)
				if d := math.Abs(float64(instanceCounts[p.Service]) - expected); d > float64(len(parts)) {
					t.Fatalf("part %s of weight %g/%d got %d of %d requests", p.Service, p.Weight, total, instanceCounts[p.Service], perInstance)
				}
				counts[p.Service] += instanceCounts[p.Service]
			}
		}
		if instances*perInstance < 200 {
			return
		}
		for _, p := range parts {
			share, expected := float64(counts[p.Service])/float64(instances*perInstance), p.Weight/float64(total)
			if math.Abs(share-expected) > 0.1 {
				t.Fatalf("part %s has a share of %.2f, want %.2f", p.Service, share, expected)
			}
		}
	})
}

// A table took time and memory by the size of its weights, and knew no fractions.
func TestSplitOfAnyWeights(t *testing.T) {
	for _, tt := range []struct{ weights, shares []float64 }{
		{[]float64{0.75, 0.25}, []float64{0.75, 0.25}},
		{[]float64{1e300, 3e300}, []float64{0.25, 0.75}},
		{[]float64{math.MaxFloat64, math.MaxFloat64, 0}, []float64{0.5, 0.5, 0}},
		{[]float64{5e-324, 5e-324}, []float64{0.5, 0.5}},
		{[]float64{1e18, 1}, []float64{1, 0}},
		{[]float64{0, 7}, []float64{0, 1}},
		{[]float64{0.1, 0.2, 0.3, 0.4}, []float64{0.1, 0.2, 0.3, 0.4}},
		{[]float64{90, 5, 5}, []float64{0.9, 0.05, 0.05}},
	} {
		var parts []Part
		for i, w := range tt.weights {
			parts = append(parts, Part{Service: string(rune('a' + i)), Weight: w})
		}
		const requests = 2000
		r := newRoute(Rule{Parts: parts}, rng(1))
		counts, first := map[string]float64{}, map[string]float64{}
		for i := range requests {
			counts[r.NextService()]++
			first[newRoute(Rule{Parts: parts}, rng(uint64(i))).NextService()]++
		}
		for i, p := range parts {
			if d := math.Abs(counts[p.Service] - requests*tt.shares[i]); d > float64(len(parts)) {
				t.Errorf("weights %g: part %s got %g of %d requests", tt.weights, p.Service, counts[p.Service], requests)
			}
			if d := math.Abs(first[p.Service]/requests - tt.shares[i]); d > 0.03 {
				t.Errorf("weights %g: part %s got the first request %g of %d times", tt.weights, p.Service, first[p.Service], requests)
			}
		}
	}
	if s := newRoute(Rule{Parts: []Part{{Service: "a"}}}, rng(1)).NextService(); s != "" {
		t.Errorf("no weight: %q", s)
	}
}

// FuzzMatch compares Match with a search for the longest prefix among all rules.
func FuzzMatch(f *testing.F) {
	f.Add("/a/ /a/b/ /", "/a//b/c", "Hunts.example:80")
	f.Add("/a/ /a/b/", "/a/%62/c", "hunts.example")
	f.Fuzz(func(t *testing.T, prefixes, path, host string) {
		doc := &Document{}
		want := ""
		name, _, _ := strings.Cut(host, ":")
		for _, p := range strings.Fields(prefixes) {
			doc.Rules = append(doc.Rules, Rule{Name: p, Host: name, Prefix: p, Parts: []Part{{Service: "s", Weight: 1}}})
			if len(p) > len(want) && len(p) <= len(path) && path[:len(p)] == p {
				want = p
			}
		}
		if strings.Count(host, ":") > 1 {
			return // not the name or address of a host
		}
		got := NewTable(doc, rand.New(rand.NewPCG(1, 1))).Match(host, path)
		if got == nil && want != "" || got != nil && got.Prefix != want {
			t.Errorf("host %q, path %q: %v, want the prefix %q of %q", host, path, got, want, prefixes)
		}
	})
}

// The least-cost order was in force for all services or for none: it is for those whose requests
// differ in priority, by routes or by customers.
func TestPrioritiesDiffer(t *testing.T) {
	doc := &Document{Rules: []Rule{
		{Host: "a", Prefix: "/1/", Priority: 1, Parts: []Part{{Service: "one", Weight: 1}}},
		{Host: "a", Prefix: "/2/", Priority: 1, Parts: []Part{{Service: "one", Weight: 1}, {Service: "both", Weight: 1}}},
		{Host: "a", Prefix: "/3/", Priority: 2, Parts: []Part{{Service: "both", Weight: 1}}},
	}}
	table := NewTable(doc, rng(1))
	if table.PrioritiesDiffer("one") || !table.PrioritiesDiffer("both") || table.PrioritiesDiffer("none") {
		t.Error("want the service with routes of two priorities, and no other")
	}
	doc.Customers = customer.NewSet()
	doc.Customers.Add(customer.Customer{Name: "c", Priority: 3, HasPriority: true})
	if !NewTable(doc, rng(1)).PrioritiesDiffer("one") {
		t.Error("a customer with a priority of its own makes no difference")
	}
}
