package standin

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/settings"
	"github.com/catkinrouter/catkinrouter/store"
)

// Settings describe a stand-in site.
type Settings struct {
	// PlatformAddress is the listen address of the store, the list of instances
	// and their control paths.
	PlatformAddress string `json:"platform_address"`
	// ControlAddress is the listen address of the control paths of upstreams:
	// faults and counts.
	ControlAddress string `json:"control_address"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel  string            `json:"log_level"`
	Instances []store.Instance  `json:"instances"`
	Services  []ServiceSettings `json:"services"`
	// Site, DataCentres, MaxEntries and Lookup are copied into the
	// configuration document that Document returns.
	Site        string              `json:"site"`
	DataCentres []config.DataCentre `json:"data_centres"`
	MaxEntries  int                 `json:"max_entries"`
	Lookup      config.Lookup       `json:"lookup"`
}

// ServiceSettings describe the upstreams of one service.
type ServiceSettings struct {
	Name string `json:"name"`
	// FirstAddress is the address of the first upstream. The others use the
	// ports after it.
	FirstAddress string `json:"first_address"`
	Count        int    `json:"count"`
	Slots        int    `json:"slots"`
	Queue        int    `json:"queue"`
	Connections  int    `json:"connections"`
	// DataCentres are assigned to the upstreams in rotation.
	DataCentres []string        `json:"data_centres"`
	Work        config.Duration `json:"work"`
	LongWork    config.Duration `json:"long_work"`
	ProbeWork   config.Duration `json:"probe_work"`
	Rules       config.Rules    `json:"rules"`
}

// Check returns all errors of the settings, joined.
func (s *Settings) Check() error {
	errs := []error{
		settings.CheckAddress("platform_address", s.PlatformAddress),
		settings.CheckAddress("control_address", s.ControlAddress),
	}
	for i, svc := range s.Services {
		key := fmt.Sprintf("services[%d]", i)
		errs = append(errs, settings.CheckNotEmpty(key+".name", svc.Name), settings.CheckAddress(key+".first_address", svc.FirstAddress))
		if svc.Count < 1 || svc.Slots < 1 || len(svc.DataCentres) == 0 {
			errs = append(errs, fmt.Errorf("key %q: set count and slots to 1 or more, and name a data centre", key))
		}
	}
	return errors.Join(errs...)
}

// Document returns a configuration document that lists the stand-in upstreams.
func (s *Settings) Document() config.Document {
	d := config.Document{
		Site: s.Site, DataCentres: s.DataCentres, MaxEntries: s.MaxEntries, Lookup: s.Lookup,
		PermitKeys: []config.PermitKey{{ID: "k1", Secret: []byte("stand-in permit key, not a secret")}},
	}
	for _, svc := range s.Services {
		d.Services = append(d.Services, svc.service())
	}
	return d
}

func (s ServiceSettings) service() config.Service {
	out := config.Service{Name: s.Name, Rules: s.Rules}
	for i := range s.Count {
		out.Upstreams = append(out.Upstreams, config.Upstream{
			ID: s.id(i), Address: s.address(i), DataCentre: s.DataCentres[i%len(s.DataCentres)],
			Slots: s.Slots, Connections: s.Connections,
		})
	}
	return out
}

func (s ServiceSettings) id(i int) string { return fmt.Sprintf("%s-%02d", s.Name, i+1) }

func (s ServiceSettings) address(i int) string {
	a := netip.MustParseAddrPort(s.FirstAddress)
	return netip.AddrPortFrom(a.Addr(), a.Port()+uint16(i)).String()
}

func (s ServiceSettings) options(i int) UpstreamOptions {
	return UpstreamOptions{
		ID: s.id(i), Service: s.Name, Address: s.address(i), DataCentre: s.DataCentres[i%len(s.DataCentres)],
		Slots: s.Slots, Queue: s.Queue,
		Work: s.Work.D(), LongWork: max(s.LongWork.D(), time.Millisecond), ProbeWork: s.ProbeWork.D(),
		Seed: uint64(i + 1),
	}
}
