// Package node is one instance on a platform: it joins the fleet, the routes
// and the discovered upstreams to the gateway that serves callers.
package node

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/catkinrouter/catkinrouter/settings"
)

// Settings are an instance's settings, as the platform gives them.
type Settings struct {
	ID         string
	DataCentre string
	Region     string
	// DataAddress serves callers, ReadyAddress the platform's question
	// whether the instance is ready, LookupAddress lookups.
	DataAddress   string
	ReadyAddress  string
	LookupAddress string
	// PeerAddress serves the other instances, by TCP and UDP.
	PeerAddress    string
	MetricsAddress string
	// Seeds are peer addresses of instances that may live.
	Seeds        []string
	StoreAddress string
	// FirstStart is set when the whole system starts for the first time.
	FirstStart  bool
	MemoryBytes int64
	// StopLimit is the time from the request to stop until the process is
	// killed.
	StopLimit time.Duration
	// RetryShare, RetryAllowance and RetryWindow bound the attempts beyond
	// the first at a service, of all instances together.
	RetryShare     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// ProbesPerUpstream bounds the health requests of all instances to one
	// upstream, a second.
	ProbesPerUpstream float64
	// MaxLookupLife bounds the lifetime of lookup answers.
	MaxLookupLife time.Duration
}

// Check returns every fault, joined.
func (s *Settings) Check() error {
	errs := []error{
		settings.CheckSet("ID", s.ID),
		settings.CheckSet("data centre", s.DataCentre),
		settings.CheckAddress("data address", s.DataAddress),
		settings.CheckAddress("ready address", s.ReadyAddress),
		settings.CheckAddress("lookup address", s.LookupAddress),
		settings.CheckAddress("peer address", s.PeerAddress),
		settings.CheckAddress("metrics address", s.MetricsAddress),
		settings.CheckAddress("store address", s.StoreAddress),
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"stop limit", s.StopLimit}, {"retry window", s.RetryWindow}, {"lookup life", s.MaxLookupLife}} {
		if d.value <= 0 {
			errs = append(errs, fmt.Errorf("%s is %v: set it above 0", d.name, d.value))
		}
	}
	return errors.Join(errs...)
}

// WithPort returns the instance's own IP address with another port.
func (s *Settings) WithPort(port int) string {
	host, _, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return "" // Check refuses such settings
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// Keys names the store's keys that an instance follows.
type Keys struct {
	// Configuration holds the operators' newest document.
	Configuration string
	// Upstreams is the prefix of the upstreams' own entries.
	Upstreams string
	// Hubs is where the instances that read the store can be found by those
	// that know no peer.
	Hubs string
}
