package config

import (
	"encoding/json"
	"fmt"
)

// Intent is a change smaller than a whole document. Its parts are applied in
// the order of the fields.
type Intent struct {
	// Add gives upstreams to services.
	Add []AddUpstream `json:"add,omitempty"`
	// Drain and Undrain are IDs of upstreams that leave or take work again.
	Drain   []string `json:"drain,omitempty"`
	Undrain []string `json:"undrain,omitempty"`
	// Remove are IDs of upstreams to remove.
	Remove []string `json:"remove,omitempty"`
}

// AddUpstream gives an upstream to a service.
type AddUpstream struct {
	Service  string   `json:"service"`
	Upstream Upstream `json:"upstream"`
}

// Apply returns a copy of doc with the intent applied. Its error joins a
// *CheckError for each part that can't be applied.
func (in *Intent) Apply(doc *Document) (*Document, error) {
	if doc == nil {
		return nil, &CheckError{Path: "intent", Fault: "no configuration is in force", Remedy: "plan a whole document first"}
	}
	out, err := doc.clone()
	if err != nil {
		return nil, err
	}
	c := &checker{}
	if len(in.Add)+len(in.Drain)+len(in.Undrain)+len(in.Remove) == 0 {
		c.fault("intent", "empty", "name upstreams to add, drain, undrain or remove")
	}
	for i, a := range in.Add {
		c.require(fmt.Sprintf("add[%d].service", i), out.add(a), "unknown service "+a.Service, "name a service of the configuration in force")
	}
	for i, id := range in.Drain {
		c.require(fmt.Sprintf("drain[%d]", i), out.setLeaving(id, true), "unknown upstream "+id, "name an upstream of the configuration in force")
	}
	for i, id := range in.Undrain {
		c.require(fmt.Sprintf("undrain[%d]", i), out.setLeaving(id, false), "unknown upstream "+id, "name an upstream of the configuration in force")
	}
	for i, id := range in.Remove {
		c.require(fmt.Sprintf("remove[%d]", i), out.remove(id), "unknown upstream "+id, "name an upstream of the configuration in force")
	}
	return out, c.err()
}

func (d *Document) clone() (*Document, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	out := &Document{}
	return out, json.Unmarshal(b, out)
}

func (d *Document) add(a AddUpstream) bool {
	for i := range d.Services {
		if s := &d.Services[i]; s.Name == a.Service {
			s.Upstreams = append(s.Upstreams, a.Upstream)
			return true
		}
	}
	return false
}

func (d *Document) setLeaving(id string, leaving bool) bool {
	s, i := d.find(id)
	if s == nil {
		return false
	}
	s.Upstreams[i].Leaving = leaving
	return true
}

func (d *Document) remove(id string) bool {
	s, i := d.find(id)
	if s == nil {
		return false
	}
	s.Upstreams = append(s.Upstreams[:i], s.Upstreams[i+1:]...)
	return true
}

// find returns the service and the place of an upstream.
func (d *Document) find(id string) (*Service, int) {
	for i := range d.Services {
		for j, u := range d.Services[i].Upstreams {
			if u.ID == id {
				return &d.Services[i], j
			}
		}
	}
	return nil, 0
}
