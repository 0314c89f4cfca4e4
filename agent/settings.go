package agent

import (
	"errors"

	"github.com/catkinrouter/catkinrouter/settings"
)

// Settings are the static settings of an agent.
type Settings struct {
	// ID identifies the instance. The agent and its entry share it.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// PeerAddress is where the agent listens for other agents.
	PeerAddress string `json:"peer_address"`
	// OperatorAddress is where the agent serves the intent API.
	OperatorAddress string `json:"operator_address"`
	MetricsAddress  string `json:"metrics_address"`
	// EntryLink is the link_address of the entry, EntryAddress the address
	// at which it serves callers.
	EntryLink    string `json:"entry_link"`
	EntryAddress string `json:"entry_address"`
	StoreAddress string `json:"store_address"`
	ListAddress  string `json:"list_address"`
	// LogLevel is "debug", "info", "warn" or "error"; "info" by default.
	LogLevel string `json:"log_level"`
}

// Check returns the errors of all invalid settings, joined.
func (s *Settings) Check() error {
	return errors.Join(
		settings.CheckNotEmpty("id", s.ID),
		settings.CheckNotEmpty("data_centre", s.DataCentre),
		settings.CheckNotEmpty("region", s.Region),
		settings.CheckAddress("peer_address", s.PeerAddress),
		settings.CheckAddress("operator_address", s.OperatorAddress),
		settings.CheckAddress("metrics_address", s.MetricsAddress),
		settings.CheckAddress("entry_link", s.EntryLink),
		settings.CheckAddress("entry_address", s.EntryAddress),
		settings.CheckAddress("store_address", s.StoreAddress),
		settings.CheckAddress("list_address", s.ListAddress),
		settings.CheckLogLevel("log_level", s.LogLevel),
	)
}
