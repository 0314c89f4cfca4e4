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
	// StopTimeout limits the duration of a planned stop; 60s by default.
	StopTimeout config.Duration `json:"stop_timeout"`
}

// Defaults of Settings.
const (
	DefaultMaxHeader   = 8 << 10  // bytes
	DefaultMaxBody     = 64 << 20 // bytes
	DefaultStopTimeout = 60 * time.Second
)

// Check sets defaults and returns every error, joined.
func (s *Settings) Check() error {
	if s.MaxHeader == 0 {
		s.MaxHeader = DefaultMaxHeader
	}
	if s.MaxBody == 0 {
		s.MaxBody = DefaultMaxBody
	}
	if s.StopTimeout == 0 {
		s.StopTimeout = config.Duration(DefaultStopTimeout)
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
	if s.StopTimeout < 0 {
		errs = append(errs, fmt.Errorf("key \"stop_timeout\": %v is below 0: write it like \"60s\", or leave it out", s.StopTimeout.D()))
	}
	return errors.Join(errs...)
}

// minHeader is the lowest value of MaxHeader, in bytes.
const minHeader = 1 << 10
