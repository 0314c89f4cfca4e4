package proxy

import (
	"errors"
	"fmt"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/settings"
)

// Settings are an entry's static settings.
type Settings struct {
	// ID identifies the entry within the fleet.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Address is the address for callers.
	Address string `json:"address"`
	// LinkAddress is the address for the agent; keep it on loopback.
	LinkAddress    string `json:"link_address"`
	MetricsAddress string `json:"metrics_address"`
	// LogLevel is "debug", "info", "warn" or "error"; "info" by default.
	LogLevel string `json:"log_level"`
	// MaxHeader limits a request's headers, in bytes; 8192 by default.
	MaxHeader int `json:"max_header"`
	// MaxBody limits every request's body, in bytes, in addition to the
	// limits of the services; 67108864 by default.
	MaxBody int `json:"max_body"`
	// HeaderTimeout limits the time from the first byte of a request to the end of its
	// headers, 30s by default; IdleTimeout the wait for that byte, 90s by default.
	HeaderTimeout config.Duration `json:"header_timeout"`
	IdleTimeout   config.Duration `json:"idle_timeout"`
	// MaxCallers limits the open connections of callers; by default it follows from the
	// process's limit of open files.
	MaxCallers int `json:"max_callers"`
	// Memory is the memory of the process in bytes, of which callers' connections take a
	// part at most; half of the machine's by default.
	Memory int64 `json:"memory"`
	// StopTimeout limits the duration of a planned stop; 60s by default.
	StopTimeout config.Duration `json:"stop_timeout"`
}

// Defaults of Settings.
const (
	DefaultMaxHeader   = 8 << 10  // bytes
	DefaultMaxBody     = 64 << 20 // bytes
	DefaultStopTimeout = 60 * time.Second
	// The time in which a request's headers arrive, and between two requests.
	DefaultHeaderTimeout = 30 * time.Second
	DefaultIdleTimeout   = 90 * time.Second
)

// Check sets defaults and returns every error, joined.
func (s *Settings) Check() error {
	if s.MaxHeader == 0 {
		s.MaxHeader = DefaultMaxHeader
	}
	if s.MaxBody == 0 {
		s.MaxBody = DefaultMaxBody
	}
	for _, d := range []struct {
		value  *config.Duration
		preset time.Duration
	}{{&s.StopTimeout, DefaultStopTimeout}, {&s.HeaderTimeout, DefaultHeaderTimeout}, {&s.IdleTimeout, DefaultIdleTimeout}} {
		if *d.value == 0 {
			*d.value = config.Duration(d.preset)
		}
	}
	return errors.Join(
		checkBounds(s),
		settings.CheckNotEmpty("id", s.ID),
		settings.CheckNotEmpty("data_centre", s.DataCentre),
		settings.CheckAddress("address", s.Address),
		settings.CheckAddress("link_address", s.LinkAddress),
		settings.CheckAddress("metrics_address", s.MetricsAddress),
		settings.CheckLogLevel("log_level", s.LogLevel),
	)
}

func checkBounds(s *Settings) error {
	var errs []error
	if s.MaxHeader < minHeader {
		errs = append(errs, fmt.Errorf("key \"max_header\": %d is too low: set %d or more, or leave it out", s.MaxHeader, minHeader))
	}
	if s.MaxBody < 0 {
		errs = append(errs, fmt.Errorf("key \"max_body\": %d is below 0: set the limit in bytes, or leave it out", s.MaxBody))
	}
	for _, d := range []struct {
		key   string
		value config.Duration
	}{{"stop_timeout", s.StopTimeout}, {"header_timeout", s.HeaderTimeout}, {"idle_timeout", s.IdleTimeout}} {
		if d.value < 0 {
			errs = append(errs, fmt.Errorf("key %q: %v is below 0: write it like \"60s\", or leave it out", d.key, d.value.D()))
		}
	}
	if s.MaxCallers < 0 {
		errs = append(errs, fmt.Errorf("key \"max_callers\": %d is below 0: set the number of connections, or leave it out", s.MaxCallers))
	}
	if s.Memory < 0 {
		errs = append(errs, fmt.Errorf("key \"memory\": %d is below 0: set the memory of the process in bytes, or leave it out", s.Memory))
	}
	return errors.Join(errs...)
}

// minHeader is the lowest value of MaxHeader, in bytes.
const minHeader = 1 << 10
