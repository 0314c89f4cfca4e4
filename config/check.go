package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

// Bounds of a document's values.
const (
	MinLifetime     = 100 * time.Millisecond
	MaxLifetime     = time.Hour
	MaxTimeout      = 10 * time.Minute
	MaxProbeCost    = 10 * time.Second
	MaxEntryCount   = 10_000
	MaxLookup       = 64 // addresses in an answer
	MaxSlots        = 100_000
	MaxConnections  = 1_000_000
	MaxRequestBody  = 1 << 30 // bytes
	MaxRequestQueue = 1_000_000
	MaxPermitKeys   = 16
	// MinSecret and MaxSecret bound a permit key's secret, in bytes. The
	// lower one is the size of an HMAC-SHA256.
	MinSecret = 32
	MaxSecret = 1024
	maxName   = 128 // bytes
	maxHost   = 253 // bytes
)

// CheckError is one fault of a document.
type CheckError struct {
	// Path names the place, such as "services[0].upstreams[2].address".
	Path   string `json:"path"`
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

// Error names the place, the fault and the remedy.
func (e *CheckError) Error() string { return e.Path + ": " + e.Fault + ": " + e.Remedy }

// Place returns the path, for settings.Locate.
func (e *CheckError) Place() string { return e.Path }

// CheckErrors returns the *CheckError that err joins.
func CheckErrors(err error) []*CheckError {
	var one *CheckError
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var out []*CheckError
		for _, e := range joined.Unwrap() {
			out = append(out, CheckErrors(e)...)
		}
		return out
	}
	if errors.As(err, &one) {
		return []*CheckError{one}
	}
	return nil
}

// Check returns every fault of the document, joined; each is a *CheckError.
func (d *Document) Check() error {
	c := &checker{}
	c.name("site", d.Site, "name the site")
	c.whole("max_entries", d.MaxEntries, 1, MaxEntryCount, "set the most entries that run at once")
	c.duration("lookup.lifetime", d.Lookup.Lifetime, MinLifetime, MaxLifetime, "set how long callers keep addresses, such as \"10s\"")
	c.whole("lookup.addresses", d.Lookup.Addresses, 1, MaxLookup, "set the number of addresses in an answer")
	dcs := c.dataCentres(d.DataCentres)
	c.permitKeys(d.PermitKeys)
	c.services(d.Services, dcs)
	if b, err := json.Marshal(d); err != nil {
		c.fault("document", err.Error(), "correct the value")
	} else if len(b) > MaxDocument {
		c.fault("document", fmt.Sprintf("size of %d bytes is larger than %d", len(b), MaxDocument), "shorten names or split the site")
	}
	return c.err()
}

type checker struct{ errs []error }

func (c *checker) err() error { return errors.Join(c.errs...) }

func (c *checker) fault(path, fault, remedy string) {
	c.errs = append(c.errs, &CheckError{Path: path, Fault: fault, Remedy: remedy})
}

func (c *checker) require(path string, ok bool, fault, remedy string) {
	if !ok {
		c.fault(path, fault, remedy)
	}
}

func (c *checker) whole(path string, v, least, most int, remedy string) {
	c.require(path, v >= least && v <= most, fmt.Sprintf("%d is not between %d and %d", v, least, most), remedy)
}

func (c *checker) duration(path string, v Duration, least, most time.Duration, remedy string) {
	c.require(path, v.D() >= least && v.D() <= most, fmt.Sprintf("%v is not between %v and %v", v.D(), least, most), remedy)
}

// share checks a number between 0 and 1.
func (c *checker) share(path string, v float64, remedy string) {
	c.require(path, v >= 0 && v <= 1 && !math.IsNaN(v), fmt.Sprintf("%v is not between 0 and 1", v), remedy)
}

func (c *checker) name(path, v, remedy string) {
	switch {
	case v == "":
		c.fault(path, "missing", remedy)
	case len(v) > maxName:
		c.fault(path, fmt.Sprintf("longer than %d bytes", maxName), "shorten it")
	case strings.ContainsFunc(v, unprintable):
		c.fault(path, fmt.Sprintf("%q has spaces or control characters", v), "use letters, digits, dots and dashes")
	}
}

func unprintable(r rune) bool { return r <= ' ' || r == 0x7f || r == '\uFFFD' }

// unique checks that v was not seen before, and notes it with its path.
func (c *checker) unique(seen map[string]string, path, v string) {
	if v == "" {
		return
	}
	if first, ok := seen[v]; ok {
		c.fault(path, fmt.Sprintf("%q is used by %s already", v, first), "give each its own")
		return
	}
	seen[v] = path
}

// dataCentres returns the known names.
func (c *checker) dataCentres(list []DataCentre) map[string]string {
	c.require("data_centres", len(list) > 0, "empty", "list the data centres of upstreams and entries")
	seen := map[string]string{}
	for i, dc := range list {
		path := fmt.Sprintf("data_centres[%d]", i)
		c.name(path+".name", dc.Name, "name the data centre")
		c.name(path+".region", dc.Region, "name its region")
		c.unique(seen, path+".name", dc.Name)
	}
	return seen
}

func (c *checker) permitKeys(keys []PermitKey) {
	c.require("permit_keys", len(keys) > 0, "empty", "give at least one key")
	c.require("permit_keys", len(keys) <= MaxPermitKeys, fmt.Sprintf("more than %d keys", MaxPermitKeys), "remove keys that sign no longer")
	seen := map[string]string{}
	for i, k := range keys {
		path := fmt.Sprintf("permit_keys[%d]", i)
		c.name(path+".id", k.ID, "name the key")
		c.unique(seen, path+".id", k.ID)
		c.whole(path+".secret", len(k.Secret), MinSecret, MaxSecret, "give that many random bytes, in base64")
	}
}

// hostLabel is a label of a host name (RFC 1123), in lower case.
var hostLabel = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func validHost(s string) bool {
	if len(s) > maxHost {
		return false
	}
	for label := range strings.SplitSeq(s, ".") {
		if !hostLabel.MatchString(label) {
			return false
		}
	}
	return true
}

func (c *checker) services(list []Service, dcs map[string]string) {
	names, ids, addrs := map[string]string{}, map[string]string{}, map[string]string{}
	for i, s := range list {
		path := fmt.Sprintf("services[%d]", i)
		c.require(path+".name", validHost(s.Name), fmt.Sprintf("%q is not a host name", s.Name), "use lower-case letters, digits, dashes and dots, as callers send it in Host")
		c.unique(names, path+".name", s.Name)
		for j, u := range s.Upstreams {
			at := fmt.Sprintf("%s.upstreams[%d]", path, j)
			c.upstream(at, u)
			c.require(at+".data_centre", dcs[u.DataCentre] != "", fmt.Sprintf("unknown data centre %q", u.DataCentre), "add it to data_centres or correct it")
			c.unique(ids, at+".id", u.ID)
			c.unique(addrs, at+".address", u.Address)
		}
		c.rules(path+".rules", &s.Rules)
	}
}

func (c *checker) upstream(path string, u Upstream) {
	c.name(path+".id", u.ID, "give each upstream an ID of its own")
	a, err := netip.ParseAddrPort(u.Address)
	ok := err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
	c.require(path+".address", ok, fmt.Sprintf("%q is not an IP address and port", u.Address), "write it like \"127.0.0.1:8001\"")
	c.whole(path+".slots", u.Slots, 1, MaxSlots, "set the number of requests it works on at once")
	c.whole(path+".connections", u.Connections, 1, MaxConnections, "set the number of connections it allows")
}

func (c *checker) rules(path string, r *Rules) {
	if r.Policy != "" && !balance.Known(r.Policy) {
		c.fault(path+".policy", fmt.Sprintf("unknown policy %q", r.Policy), "use one of "+strings.Join(balance.Names(), ", "))
	}
	c.duration(path+".timeout", r.Timeout, 0, MaxTimeout, "set the time for a call, such as \"2s\"")
	c.whole(path+".max_body", r.MaxBody, 0, MaxRequestBody, "set the greatest body in bytes")
	c.share(path+".probe_budget", r.ProbeBudget, "set the share of slot time for probes, such as 0.005")
	c.duration(path+".probe_cost", r.ProbeCost, 0, MaxProbeCost, "set the slot time of a probe, such as \"6ms\"")
	c.share(path+".retry_budget", r.RetryBudget, "set the retries per call, such as 0.1")
	c.share(path+".hedge_budget", r.HedgeBudget, "set the hedges per call, such as 0.05")
	c.whole(path+".queue", r.Queue, 0, MaxRequestQueue, "set the calls that may wait")
	c.share(path+".long_share", r.LongShare, "set the share of slots for long work, such as 0.5")
	seen := map[string]string{}
	for i, rt := range r.Routes {
		at := fmt.Sprintf("%s.routes[%d].prefix", path, i)
		c.require(at, strings.HasPrefix(rt.Prefix, "/") && len(rt.Prefix) <= maxHost, fmt.Sprintf("%q is not a path", rt.Prefix), "start it with \"/\"")
		c.unique(seen, at, rt.Prefix)
	}
}
