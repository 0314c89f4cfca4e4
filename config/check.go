package config

import (
	"errors"
	"fmt"
	"net/netip"
)

// CheckError is one fault of a document.
type CheckError struct {
	// Path names the place, such as "services[0].upstreams[2].address".
	Path   string
	Fault  string
	Remedy string
}

// Error names the place, the fault and the remedy.
func (e *CheckError) Error() string { return e.Path + ": " + e.Fault + ": " + e.Remedy }

// Check returns every fault of the document, joined; each is a *CheckError.
func (d *Document) Check() error {
	c := checker{ids: map[string]bool{}, names: map[string]bool{}, dcs: map[string]bool{}}
	c.require("site", d.Site != "", "missing", "name the site")
	c.require("max_entries", d.MaxEntries > 0, "not above 0", "set the most entries that run at once")
	c.require("lookup.lifetime", d.Lookup.Lifetime > 0, "not above 0", "set how long callers keep addresses, such as \"10s\"")
	c.require("lookup.addresses", d.Lookup.Addresses > 0, "not above 0", "set the number of addresses in an answer")
	c.require("permit_keys", len(d.PermitKeys) > 0, "empty", "give at least one key")
	for _, dc := range d.DataCentres {
		c.dcs[dc.Name] = true
	}
	for i, s := range d.Services {
		c.service(fmt.Sprintf("services[%d]", i), s)
	}
	return errors.Join(c.errs...)
}

type checker struct {
	errs  []error
	ids   map[string]bool
	names map[string]bool
	dcs   map[string]bool
}

func (c *checker) require(path string, ok bool, fault, remedy string) {
	if !ok {
		c.errs = append(c.errs, &CheckError{Path: path, Fault: fault, Remedy: remedy})
	}
}

func (c *checker) service(path string, s Service) {
	c.require(path+".name", s.Name != "" && !c.names[s.Name], "missing or used twice", "give each service a name of its own")
	c.names[s.Name] = true
	for i, u := range s.Upstreams {
		c.upstream(fmt.Sprintf("%s.upstreams[%d]", path, i), u)
	}
}

func (c *checker) upstream(path string, u Upstream) {
	c.require(path+".id", u.ID != "" && !c.ids[u.ID], "missing or used twice", "give each upstream an ID of its own")
	c.ids[u.ID] = true
	_, err := netip.ParseAddrPort(u.Address)
	c.require(path+".address", err == nil, "not an IP address and port", "write it like \"127.0.0.1:8001\"")
	c.require(path+".data_centre", c.dcs[u.DataCentre], "unknown data centre "+u.DataCentre, "add it to data_centres")
	c.require(path+".slots", u.Slots > 0, "not above 0", "set the number of requests it works on at once")
	c.require(path+".connections", u.Connections > 0, "not above 0", "set the number of connections it allows")
}
