package config_test

import (
	"fmt"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
)

// testDocument returns a valid document. Documents with different n differ.
func testDocument(n int) *config.Document {
	d := &config.Document{
		Site:        "test",
		DataCentres: []config.DataCentre{{Name: "bole", Region: "addis"}, {Name: "yeka", Region: "addis"}},
		MaxEntries:  19,
		Lookup:      config.Lookup{Lifetime: config.Duration(10 * time.Second), Addresses: 3},
		PermitKeys:  []config.PermitKey{{ID: "k1", Secret: []byte("0123456789abcdef0123456789abcdef")}},
	}
	s := config.Service{Name: "stockview", Rules: config.Rules{Queue: n}}
	for i := range 4 {
		s.Upstreams = append(s.Upstreams, config.Upstream{
			ID: fmt.Sprintf("stockview-%d", i), Address: fmt.Sprintf("10.0.0.%d:8000", i+1),
			DataCentre: d.DataCentres[i%2].Name, Slots: 3, Connections: 250,
		})
	}
	d.Services = []config.Service{s}
	return d
}
