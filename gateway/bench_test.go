package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/route"
)

// benchSizes are the numbers of upstreams or instances of the benchmarks.
var benchSizes = []int{30, 300, 3000}

// gatewayWith returns a Gateway with n upstreams of one service.
func gatewayWith(n int) (*Gateway, map[string][]*discovery.Upstream) {
	g := New(Options{
		DataCentre: "ibarra", Limits: Limits{ProbesPerUpstream: 60, MaxLookupTTL: time.Second},
		Now: func() time.Duration { return time.Minute }, Seed: 1,
	}, testProtocol(), log.NewNopLogger(), gometrics.NewRegistry())
	upstreams := map[string][]*discovery.Upstream{}
	for i := range n {
		upstreams[testService] = append(upstreams[testService], &discovery.Upstream{
			ID: fmt.Sprint("i-", i), Service: testService, Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1), DataCentre: "ibarra", Slots: 6,
		})
	}
	return g, upstreams
}

// BenchmarkProbeOrder measures the choice of the upstreams that a call probes.
func BenchmarkProbeOrder(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, upstreams := gatewayWith(n)
			g.SetRoutes(route.NewTable(&route.Document{}, g.rng), upstreams)
			c := &call{g: g, service: route.Service{Name: testService}, tried: map[string]bool{}}
			b.ReportAllocs()
			for b.Loop() {
				g.candidates(c, true)
			}
		})
	}
}

// BenchmarkSetRoutes measures the work for one changed upstream.
func BenchmarkSetRoutes(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, upstreams := gatewayWith(n)
			t := route.NewTable(&route.Document{}, g.rng)
			b.ReportAllocs()
			for b.Loop() {
				g.SetRoutes(t, upstreams)
			}
		})
	}
}

// BenchmarkLookup measures the choice of addresses for a lookup.
func BenchmarkLookup(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := make([]Instance, n)
			for i := range list {
				list[i] = Instance{Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1), DataCentre: "ibarra"}
			}
			b.ReportAllocs()
			for b.Loop() {
				chooseInstances(list, "ibarra")
			}
		})
	}
}
