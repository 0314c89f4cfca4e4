package agent

import (
	"errors"

	"github.com/catkinrouter/catkinrouter/settings"
)

// Settings are an agent's static settings.
type Settings struct {
	// ID names the instance; its entry has the same ID.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// PeerAddress serves other agents.
	PeerAddress string `json:"peer_address"`
	// OperatorAddress serves the intent API.
	OperatorAddress string `json:"operator_address"`
	MetricsAddress  string `json:"metrics_address"`
	// EntryLink is the entry's link_address, EntryAddress its address for
	// callers.
	EntryLink    string `json:"entry_link"`
	EntryAddress string `json:"entry_address"`
	StoreAddress string `json:"store_address"`
	ListAddress  string `json:"list_address"`
	// LogLevel is "debug", "info", "warn" or "error"; "info" by default.
	LogLevel string `json:"log_level"`
}

// Check returns every fault, joined.
func (s *Settings) Check() error {
	return errors.Join(
		settings.CheckSet("id", s.ID),
		settings.CheckSet("data_centre", s.DataCentre),
		settings.CheckSet("region", s.Region),
		settings.CheckAddress("peer_address", s.PeerAddress),
		settings.CheckAddress("operator_address", s.OperatorAddress),
		settings.CheckAddress("metrics_address", s.MetricsAddress),
		settings.CheckAddress("entry_link", s.EntryLink),
		settings.CheckAddress("entry_address", s.EntryAddress),
		settings.CheckAddress("store_address", s.StoreAddress),
		settings.CheckAddress("list_address", s.ListAddress),
		settings.CheckLevel("log_level", s.LogLevel),
	)
}
