// Package node runs one load balancer instance: it connects the fleet, the
// routes and the discovered upstreams to the gateway that serves callers.
package node

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/catkinrouter/catkinrouter/admission"
	"github.com/catkinrouter/catkinrouter/gateway"
	"github.com/catkinrouter/catkinrouter/settings"
)

// Settings are the settings of one instance, as supplied by the platform.
type Settings struct {
	ID         string
	DataCentre string
	Region     string
	// DataAddress serves callers, ReadyAddress the platform's readiness
	// checks, LookupAddress lookups.
	DataAddress   string
	ReadyAddress  string
	LookupAddress string
	// PeerAddress serves the other instances over TCP and UDP.
	PeerAddress    string
	MetricsAddress string
	// Seeds are peer addresses of instances that may be running.
	Seeds        []string
	StoreAddress string
	// FirstStart is set when the whole system starts for the first time.
	FirstStart  bool
	MemoryBytes int64
	// MaxDescriptors is the number of files and sockets that the process may open; 0 if
	// it is not known.
	MaxDescriptors int
	// Capacity ranks the instances: of two, the one with the higher capacity
	// serves the other with changes.
	Capacity uint32
	// MaxChangeDelay is the time within which a change in the store must be in
	// force on every instance; 0 if there is no such limit.
	MaxChangeDelay time.Duration
	// GracePeriod is the time between the stop signal and the platform
	// killing the process.
	GracePeriod time.Duration
	// RetryShare, RetryAllowance and RetryWindow limit the attempts beyond
	// the first (retries and hedges) to a service, summed over all instances.
	RetryShare     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// ProbesPerUpstream limits the health checks of one upstream, in requests
	// per second summed over all instances.
	ProbesPerUpstream float64
	// MaxLookupTTL is the upper limit of the TTL of lookup answers.
	MaxLookupTTL time.Duration
	// KeyMaxAge is the age of the copy of the store from which customers' API keys are
	// refused, since they may have been withdrawn; 0 sets no limit.
	KeyMaxAge time.Duration
	// QueueOrder is the order in which calls wait for a slot.
	QueueOrder admission.QueueOrder
	// CustomerQuota bounds the requests of customers beyond their limits, ColdLimit those to
	// cold upstreams beyond the rate that they sustain.
	CustomerQuota gateway.CustomerQuota
	ColdLimit     gateway.ColdLimit
}

// Check returns all invalid settings as one joined error.
func (s *Settings) Check() error {
	errs := []error{
		settings.CheckNotEmpty("ID", s.ID),
		settings.CheckNotEmpty("data centre", s.DataCentre),
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
	}{{"grace period", s.GracePeriod}, {"retry window", s.RetryWindow}, {"maximum lookup TTL", s.MaxLookupTTL}} {
		if d.value <= 0 {
			errs = append(errs, fmt.Errorf("%s is %v: set it above 0", d.name, d.value))
		}
	}
	return errors.Join(errs...)
}

// WithPort returns the IP address of PeerAddress with the given port.
func (s *Settings) WithPort(port int) string {
	host, _, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return "" // Check rejects such settings
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// Keys names the store keys that an instance reads.
type Keys struct {
	// Configuration is the key of the operators' current configuration document.
	Configuration string
	// UpstreamPrefix is the prefix of the keys under which upstreams register
	// themselves.
	UpstreamPrefix string
	// Directory is the key of the addresses of the leaders of each data centre.
	// An instance that starts finds its peers there.
	Directory string
	// Quarantine is the key of the requests that crash upstreams, which instances
	// that start must know.
	Quarantine string
	// EvacuationPrefix is followed by the name of a data centre whose upstreams get no
	// requests while the key exists.
	EvacuationPrefix string
}
