package config

import (
	"encoding/json"
	"fmt"
)

// Intent is an edit of the upstreams in the configuration in force. Its parts
// are applied in the order of the fields.
type Intent struct {
	// Add lists upstreams to add to services.
	Add []AddUpstream `json:"add,omitempty"`
	// Drain and Undrain list the IDs of upstreams to mark and to unmark as
	// leaving.
	Drain   []string `json:"drain,omitempty"`
	Undrain []string `json:"undrain,omitempty"`
	// Remove lists the IDs of upstreams to remove.
	Remove []string `json:"remove,omitempty"`
}

// AddUpstream is an upstream to add to a service.
type AddUpstream struct {
	Service  string   `json:"service"`
	Upstream Upstream `json:"upstream"`
}

// Apply returns a copy of doc with the intent applied. It returns one
// *CheckError for each part that cannot be applied, joined.
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
		c.report("intent", "empty", "list upstreams to add, drain, undrain or remove")
	}
	for i, a := range in.Add {
		c.require(fmt.Sprintf("add[%d].service", i), out.addUpstream(a), "unknown service "+a.Service, "use a service of the configuration in force")
	}
	for i, id := range in.Drain {
		c.require(fmt.Sprintf("drain[%d]", i), out.setLeaving(id, true), "unknown upstream "+id, "use an upstream of the configuration in force")
	}
	for i, id := range in.Undrain {
		c.require(fmt.Sprintf("undrain[%d]", i), out.setLeaving(id, false), "unknown upstream "+id, "use an upstream of the configuration in force")
	}
	for i, id := range in.Remove {
		c.require(fmt.Sprintf("remove[%d]", i), out.removeUpstream(id), "unknown upstream "+id, "use an upstream of the configuration in force")
	}
	return out, c.err()
}

// clone returns a deep copy, made by encoding and decoding.
func (d *Document) clone() (*Document, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	out := &Document{}
	return out, json.Unmarshal(b, out)
}

// addUpstream returns false if the service does not exist.
func (d *Document) addUpstream(a AddUpstream) bool {
	for i := range d.Services {
		if s := &d.Services[i]; s.Name == a.Service {
			s.Upstreams = append(s.Upstreams, a.Upstream)
			return true
		}
	}
	return false
}

// setLeaving returns false if the upstream does not exist.
func (d *Document) setLeaving(id string, leaving bool) bool {
	s, i := d.findUpstream(id)
	if s == nil {
		return false
	}
	s.Upstreams[i].Leaving = leaving
	return true
}

// removeUpstream returns false if the upstream does not exist.
func (d *Document) removeUpstream(id string) bool {
	s, i := d.findUpstream(id)
	if s == nil {
		return false
	}
	s.Upstreams = append(s.Upstreams[:i], s.Upstreams[i+1:]...)
	return true
}

// findUpstream returns the service of an upstream and its index there, or nil
// if the upstream does not exist.
func (d *Document) findUpstream(id string) (*Service, int) {
	for i := range d.Services {
		for j, u := range d.Services[i].Upstreams {
			if u.ID == id {
				return &d.Services[i], j
			}
		}
	}
	return nil, 0
}
