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

// Limits of the values in a document.
const (
	MinLifetime        = 100 * time.Millisecond
	MaxLifetime        = time.Hour
	MaxTimeout         = 10 * time.Minute
	MaxProbeCost       = 10 * time.Second
	MaxEntryCount      = 10_000
	MaxLookupAddresses = 64 // addresses in a lookup answer
	MaxSlots           = 100_000
	MaxConnections     = 1_000_000
	MaxRequestBody     = 1 << 30 // bytes
	MaxRequestQueue    = 1_000_000
	MaxPermitKeys      = 16
	// MinSecretSize and MaxSecretSize limit a permit key's secret, in bytes.
	// The minimum is the size of an HMAC-SHA256.
	MinSecretSize = 32
	MaxSecretSize = 1024
	maxNameLen    = 128 // bytes
	maxHostLen    = 253 // bytes; also limits a route's prefix
)

// CheckError is one invalid value in a document or intent.
type CheckError struct {
	// Path locates the value, such as "services[0].upstreams[2].address".
	Path string `json:"path"`
	// Fault says what is wrong with the value.
	Fault string `json:"fault"`
	// Remedy says how to correct it.
	Remedy string `json:"remedy"`
}

// Error returns the path, the fault and the remedy.
func (e *CheckError) Error() string { return e.Path + ": " + e.Fault + ": " + e.Remedy }

// KeyPath returns the path, from which package settings finds the line.
func (e *CheckError) KeyPath() string { return e.Path }

// CheckErrors returns each *CheckError that err joins or wraps.
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

// Check validates the document. It returns one *CheckError for each invalid
// value, joined.
func (d *Document) Check() error {
	c := &checker{}
	c.validName("site", d.Site, "set the site's name")
	c.intRange("max_entries", d.MaxEntries, 1, MaxEntryCount, "set the maximum number of entries that run at once")
	c.durationRange("lookup.lifetime", d.Lookup.Lifetime, MinLifetime, MaxLifetime, "set how long callers keep addresses, such as \"10s\"")
	c.intRange("lookup.addresses", d.Lookup.Addresses, 1, MaxLookupAddresses, "set the number of addresses in a lookup answer")
	knownDataCentres := c.dataCentres(d.DataCentres)
	c.permitKeys(d.PermitKeys)
	c.services(d.Services, knownDataCentres)
	if b, err := json.Marshal(d); err != nil {
		c.report("document", err.Error(), "correct the value")
	} else if len(b) > MaxDocumentSize {
		c.report("document", fmt.Sprintf("size of %d bytes is larger than %d", len(b), MaxDocumentSize), "shorten names or split the site")
	}
	return c.err()
}

// checker collects a *CheckError for each invalid value.
type checker struct{ errs []error }

func (c *checker) err() error { return errors.Join(c.errs...) }

func (c *checker) report(path, fault, remedy string) {
	c.errs = append(c.errs, &CheckError{Path: path, Fault: fault, Remedy: remedy})
}

func (c *checker) require(path string, ok bool, fault, remedy string) {
	if !ok {
		c.report(path, fault, remedy)
	}
}

func (c *checker) intRange(path string, v, lowest, highest int, remedy string) {
	c.require(path, v >= lowest && v <= highest, fmt.Sprintf("%d is not between %d and %d", v, lowest, highest), remedy)
}

func (c *checker) durationRange(path string, v Duration, lowest, highest time.Duration, remedy string) {
	c.require(path, v.D() >= lowest && v.D() <= highest, fmt.Sprintf("%v is not between %v and %v", v.D(), lowest, highest), remedy)
}

// fraction checks that v is between 0 and 1.
func (c *checker) fraction(path string, v float64, remedy string) {
	c.require(path, v >= 0 && v <= 1 && !math.IsNaN(v), fmt.Sprintf("%v is not between 0 and 1", v), remedy)
}

// validName checks that v is set, short enough and printable without spaces.
func (c *checker) validName(path, v, remedy string) {
	switch {
	case v == "":
		c.report(path, "missing", remedy)
	case len(v) > maxNameLen:
		c.report(path, fmt.Sprintf("longer than %d bytes", maxNameLen), "shorten it")
	case strings.ContainsFunc(v, isSpaceOrControl):
		c.report(path, fmt.Sprintf("%q contains spaces or control characters", v), "use letters, digits, dots and dashes")
	}
}

// isSpaceOrControl also reports U+FFFD, which stands for invalid UTF-8.
func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f || r == '\uFFFD' }

// unique checks that v is not in seen, and adds it there with its path.
func (c *checker) unique(seen map[string]string, path, v string) {
	if v == "" {
		return
	}
	if first, ok := seen[v]; ok {
		c.report(path, fmt.Sprintf("%q is already used by %s", v, first), "use a unique value")
		return
	}
	seen[v] = path
}

// dataCentres checks the data centres and returns the path of each by name.
func (c *checker) dataCentres(list []DataCentre) map[string]string {
	c.require("data_centres", len(list) > 0, "empty", "list the data centres of upstreams and entries")
	seen := map[string]string{}
	for i, dc := range list {
		path := fmt.Sprintf("data_centres[%d]", i)
		c.validName(path+".name", dc.Name, "set the data centre's name")
		c.validName(path+".region", dc.Region, "set its region")
		c.unique(seen, path+".name", dc.Name)
	}
	return seen
}

func (c *checker) permitKeys(keys []PermitKey) {
	c.require("permit_keys", len(keys) > 0, "empty", "add at least one key")
	c.require("permit_keys", len(keys) <= MaxPermitKeys, fmt.Sprintf("more than %d keys", MaxPermitKeys), "remove keys that are no longer used")
	seen := map[string]string{}
	for i, k := range keys {
		path := fmt.Sprintf("permit_keys[%d]", i)
		c.validName(path+".id", k.ID, "set the key's ID")
		c.unique(seen, path+".id", k.ID)
		c.intRange(path+".secret", len(k.Secret), MinSecretSize, MaxSecretSize, "set a secret of that many random bytes, in base64")
	}
}

// hostLabel matches one label of a host name (RFC 1123), in lower case.
var hostLabel = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func validHost(s string) bool {
	if len(s) > maxHostLen {
		return false
	}
	for label := range strings.SplitSeq(s, ".") {
		if !hostLabel.MatchString(label) {
			return false
		}
	}
	return true
}

func (c *checker) services(list []Service, knownDataCentres map[string]string) {
	names, ids, addrs := map[string]string{}, map[string]string{}, map[string]string{}
	for i, s := range list {
		path := fmt.Sprintf("services[%d]", i)
		c.require(path+".name", validHost(s.Name), fmt.Sprintf("%q is not a host name", s.Name), "use lower-case letters, digits, dashes and dots, as callers send it in Host")
		c.unique(names, path+".name", s.Name)
		for j, u := range s.Upstreams {
			upstreamPath := fmt.Sprintf("%s.upstreams[%d]", path, j)
			c.upstream(upstreamPath, u)
			c.require(upstreamPath+".data_centre", knownDataCentres[u.DataCentre] != "", fmt.Sprintf("unknown data centre %q", u.DataCentre), "add it to data_centres or correct it")
			c.unique(ids, upstreamPath+".id", u.ID)
			c.unique(addrs, upstreamPath+".address", u.Address)
		}
		c.rules(path+".rules", &s.Rules)
	}
}

func (c *checker) upstream(path string, u Upstream) {
	c.validName(path+".id", u.ID, "set an ID that is unique in the document")
	a, err := netip.ParseAddrPort(u.Address)
	ok := err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
	c.require(path+".address", ok, fmt.Sprintf("%q is not an IP address and port", u.Address), "write it like \"127.0.0.1:8001\"")
	c.intRange(path+".slots", u.Slots, 1, MaxSlots, "set the number of requests it processes concurrently")
	c.intRange(path+".connections", u.Connections, 1, MaxConnections, "set the maximum number of connections it accepts")
}

func (c *checker) rules(path string, r *Rules) {
	if r.Policy != "" && !balance.Known(r.Policy) {
		c.report(path+".policy", fmt.Sprintf("unknown policy %q", r.Policy), "use one of "+strings.Join(balance.Names(), ", "))
	}
	c.durationRange(path+".timeout", r.Timeout, 0, MaxTimeout, "set the time limit of a call, such as \"2s\"")
	c.intRange(path+".max_body", r.MaxBody, 0, MaxRequestBody, "set the maximum body size in bytes")
	c.fraction(path+".probe_budget", r.ProbeBudget, "set the share of slot time that probes may use, such as 0.005")
	c.durationRange(path+".probe_cost", r.ProbeCost, 0, MaxProbeCost, "set the slot time of a probe, such as \"6ms\"")
	c.fraction(path+".retry_budget", r.RetryBudget, "set the average retries per call, such as 0.1")
	c.fraction(path+".hedge_budget", r.HedgeBudget, "set the average hedges per call, such as 0.05")
	c.intRange(path+".queue", r.Queue, 0, MaxRequestQueue, "set the maximum number of waiting calls")
	c.fraction(path+".long_share", r.LongShare, "set the share of slots that long work may occupy, such as 0.5")
	seen := map[string]string{}
	for i, rt := range r.Routes {
		prefixPath := fmt.Sprintf("%s.routes[%d].prefix", path, i)
		c.require(prefixPath, strings.HasPrefix(rt.Prefix, "/") && len(rt.Prefix) <= maxHostLen, fmt.Sprintf("%q is not a path", rt.Prefix), "start it with \"/\"")
		c.unique(seen, prefixPath, rt.Prefix)
	}
}
