package config_test

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/store"
)

func TestCheckReportsEveryFault(t *testing.T) {
	tests := []struct {
		name  string
		edit  func(*config.Document)
		paths []string
	}{
		{"valid", func(*config.Document) {}, nil},
		{"empty", func(d *config.Document) { *d = config.Document{} }, []string{
			"site", "max_entries", "lookup.lifetime", "lookup.addresses", "data_centres", "permit_keys",
		}},
		{"duplicate data centre", func(d *config.Document) { d.DataCentres[1].Name = "bole" }, []string{
			"data_centres[1].name", "services[0].upstreams[1].data_centre", "services[0].upstreams[3].data_centre",
		}},
		{"no region", func(d *config.Document) { d.DataCentres[0].Region = "" }, []string{"data_centres[0].region"}},
		{"lifetime too long", func(d *config.Document) { d.Lookup.Lifetime = config.Duration(2 * time.Hour) }, []string{"lookup.lifetime"}},
		{"short secret, duplicate key", func(d *config.Document) {
			d.PermitKeys = append(d.PermitKeys, config.PermitKey{ID: "k1", Secret: []byte("short")})
		}, []string{"permit_keys[1].id", "permit_keys[1].secret"}},
		{"invalid host name", func(d *config.Document) { d.Services[0].Name = "Stock View" }, []string{"services[0].name"}},
		{"duplicate service", func(d *config.Document) {
			d.Services = append(d.Services, config.Service{Name: "stockview"})
		}, []string{"services[1].name"}},
		{"duplicate upstream", func(d *config.Document) {
			u := d.Services[0].Upstreams
			u[3].ID, u[3].Address = u[0].ID, u[1].Address
		}, []string{"services[0].upstreams[3].id", "services[0].upstreams[3].address"}},
		{"invalid upstream", func(d *config.Document) {
			u := &d.Services[0].Upstreams[0]
			u.Address, u.DataCentre, u.Slots, u.Connections = "localhost:80", "jimma", 0, -1
		}, []string{
			"services[0].upstreams[0].address", "services[0].upstreams[0].slots", "services[0].upstreams[0].connections",
			"services[0].upstreams[0].data_centre",
		}},
		{"port 0", func(d *config.Document) { d.Services[0].Upstreams[0].Address = "10.0.0.1:0" }, []string{"services[0].upstreams[0].address"}},
		{"rules out of bounds", func(d *config.Document) {
			d.Services[0].Rules = config.Rules{
				Policy: "fastest", Timeout: -1, MaxBody: -1, ProbeBudget: 1.5, ProbeCost: config.Duration(time.Hour),
				RetryBudget: -0.1, HedgeBudget: math.Inf(1), Queue: -1, LongShare: 2, Routes: []config.Route{{Prefix: "long"}, {Prefix: "long"}},
			}
		}, []string{
			"services[0].rules.policy", "services[0].rules.timeout", "services[0].rules.max_body", "services[0].rules.probe_budget",
			"services[0].rules.probe_cost", "services[0].rules.retry_budget", "services[0].rules.hedge_budget", "services[0].rules.queue",
			"services[0].rules.long_share", "services[0].rules.routes[0].prefix", "services[0].rules.routes[1].prefix",
			"services[0].rules.routes[1].prefix", "document",
		}},
		{"too large", func(d *config.Document) {
			for i := range 9000 {
				d.DataCentres = append(d.DataCentres, config.DataCentre{Name: fmt.Sprintf("%s-%d", strings.Repeat("n", 50), i), Region: "addis"})
			}
		}, []string{"document"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := testDocument(1)
			tt.edit(d)
			var paths []string
			for _, e := range config.CheckErrors(d.Check()) {
				paths = append(paths, e.Path)
				if e.Fault == "" || e.Remedy == "" {
					t.Errorf("%s: error without fault or remedy: %v", e.Path, e)
				}
			}
			if diff := cmp.Diff(tt.paths, paths); diff != "" {
				t.Errorf("paths (-want +got):\n%s", diff)
			}
		})
	}
}

// A head of maximum size must leave a quarter of the store's value limit free.
func TestLargestHeadFitsTheStore(t *testing.T) {
	h := config.NewHead(math.MaxUint64, json.RawMessage(`"`+strings.Repeat("x", config.MaxDocumentSize-2)+`"`))
	for range config.MaxRecentCommits {
		h.Recent = append(h.Recent, config.Commit{
			Revision: math.MaxUint64, PlanID: h.PlanID, Digest: h.Digest, At: math.MaxInt64, Summary: strings.Repeat("x", 160),
		})
	}
	b, err := json.Marshal(h)
	if err != nil || len(b) > store.MaxValueBytes*3/4 {
		t.Fatalf("largest head has %d bytes, error %v", len(b), err)
	}
}

func FuzzDecodeHead(f *testing.F) {
	valid, err := json.Marshal(headOf(f, 1, testDocument(1)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add([]byte(`{"revision":1,"document":{"services":[{"rules":{"timeout":"1s"}}]}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := config.DecodeHead(b)
		if err != nil {
			return
		}
		var k config.Replica
		if adopted, err := k.Offer(h); adopted == (err != nil) {
			t.Fatalf("adopted %v, error %v", adopted, err)
		}
	})
}

func FuzzCheck(f *testing.F) {
	b, err := json.Marshal(testDocument(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(`{"services":[{"name":"a","upstreams":[{"address":"[::1]:1"}],"rules":{"hedge_budget":1e308}}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var d config.Document
		if json.Unmarshal(b, &d) != nil {
			return
		}
		err := d.Check()
		if err != nil && len(config.CheckErrors(err)) == 0 {
			t.Fatalf("error without a *CheckError: %v", err)
		}
		if err != nil {
			return
		}
		// A document that passes the check is the same after encoding and
		// decoding.
		encoded, err := json.Marshal(&d)
		if err != nil {
			t.Fatal(err)
		}
		var k config.Replica
		if _, err := k.Offer(config.NewHead(1, encoded)); err != nil {
			t.Fatal(err)
		}
		if changes := config.Diff(&d, k.Document()); len(changes) > 0 {
			t.Fatalf("changed by encoding and decoding: %v", changes)
		}
	})
}
