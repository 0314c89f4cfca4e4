package kit

import (
	"bytes"
	_ "embed"
	"text/template"

	"github.com/catkinrouter/catkinrouter/platform"
)

//go:embed wire/config.json
var configText string

var configTemplate = template.Must(template.New("config").Parse(configText))

// Kinds of routes.
const (
	Safe   = "safe"
	Unsafe = "unsafe"
)

// Part is a service's part of a route's requests.
type Part struct {
	Service string
	// Weight is a number in JSON.
	Weight string
}

// Route is a route of the operator's configuration, with a service or with parts.
type Route struct {
	Name, Host, Prefix, Kind, Service          string
	TimeoutMs, TargetMs, Priority, MaxAttempts int
	Split                                      []Part
}

// Config is the operator's configuration, with the limits that the platform's pages
// show.
type Config struct {
	Version  int
	Routes   []Route
	Services []string
}

// PutConfig writes the operator's configuration to the store.
func (s *Site) PutConfig(c Config) error {
	var text bytes.Buffer
	if err := configTemplate.Execute(&text, c); err != nil {
		return err
	}
	s.KV.Put(platform.Keys().Configuration, text.Bytes())
	s.Log("operator wrote configuration %d: %+v", c.Version, c.Routes)
	return nil
}
