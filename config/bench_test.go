package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/store/storetest"
)

// documentOfSize returns a document with the given number of upstreams, spread
// over 13 services and 8 data centres.
func documentOfSize(upstreams int) *config.Document {
	d := testDocument(1)
	d.DataCentres, d.Services = nil, nil
	for i := range 8 {
		d.DataCentres = append(d.DataCentres, config.DataCentre{Name: fmt.Sprintf("data-centre-%d", i+1), Region: fmt.Sprintf("region-%d", i%2+1)})
	}
	for i := range 13 {
		d.Services = append(d.Services, config.Service{Name: fmt.Sprintf("service-%02d", i+1)})
	}
	for i := range upstreams {
		s := &d.Services[i%13]
		s.Upstreams = append(s.Upstreams, config.Upstream{
			ID: fmt.Sprintf("%s-%03d", s.Name, i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250+1),
			DataCentre: d.DataCentres[i%8].Name, Slots: 6, Connections: 250,
		})
	}
	return d
}

// sizes are the numbers of upstreams in the benchmarked documents.
var sizes = []int{36, 120, 240, 480}

// BenchmarkOffer measures how long an instance takes to adopt a new revision.
func BenchmarkOffer(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			h := headOf(b, 1, documentOfSize(n))
			for b.Loop() {
				var k config.Replica
				if _, err := k.Offer(h); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(h.Document)), "document-bytes")
		})
	}
}

// BenchmarkPlanAndConfirm measures planning and confirming a drain or undrain
// of one upstream on an in-memory store, and the size of the resulting head.
func BenchmarkPlanAndConfirm(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			store := storetest.NewStore(time.Now, nil).Client("bench", nil)
			c := config.NewCommitter(store)
			planAndConfirm := func(plan func() (*config.Plan, error)) {
				p, err := plan()
				if err != nil {
					b.Fatal(err)
				}
				if _, err := c.Confirm(b.Context(), p.ID); err != nil {
					b.Fatal(err)
				}
			}
			planAndConfirm(func() (*config.Plan, error) { return c.Plan(b.Context(), documentOfSize(n)) })
			intents := [2]config.Intent{{Drain: []string{"service-01-000"}}, {Undrain: []string{"service-01-000"}}}
			for i := 0; b.Loop(); i++ {
				planAndConfirm(func() (*config.Plan, error) { return c.PlanIntent(b.Context(), &intents[i%2]) })
			}
			h, _, err := c.Head(b.Context())
			if err != nil {
				b.Fatal(err)
			}
			v, err := json.Marshal(h)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(v)), "head-bytes")
		})
	}
}
