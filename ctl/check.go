package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/catkinrouter/catkinrouter/configcheck"
	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/platform"
)

// Exit codes of check.
const (
	CheckClean    = 0
	CheckWarnings = 1
	CheckErrors   = 2
	// CheckNotCompared: the version in force can't be read.
	CheckNotCompared = 3
)

// Bounds of the files that check reads.
const (
	maxCheckedFile = 16 << 20 // bytes
	// maxCheckedCommas bounds the values in a file: each may be a row that can't be read, and
	// a finding takes up to 4 KB in all. 10,000 customers with two keys each have fewer than 100,000.
	maxCheckedCommas = 250_000
)

// checkExit ends check with an exit code, once its report is printed.
type checkExit int

func (e checkExit) Error() string { return fmt.Sprintf("check ended with exit code %d", int(e)) }

// checkOptions are the flags of check.
type checkOptions struct {
	file, against, store, upstreams, format string
	instances                               int
}

// checkReport is the report of check.
type checkReport struct {
	File     string                `json:"file"`
	Version  uint64                `json:"version"`
	Findings []configcheck.Finding `json:"findings"`
	// Against names where the version in force was read from, empty if it was not asked for.
	Against string `json:"against,omitempty"`
	// NotCompared says why there are no differences.
	NotCompared string                   `json:"not_compared,omitempty"`
	Differences []configcheck.Difference `json:"differences"`
	// readable is set if the document can be read as a whole.
	readable bool
}

// check checks a configuration document of the platform before it is submitted.
func (c *command) check(args []string) error {
	o, err := c.parseCheck(args)
	if err != nil {
		return err
	}
	site, invalid, err := o.site()
	if err != nil {
		return err
	}
	value, err := readBounded(o.file)
	if err != nil {
		return usageError(err.Error())
	}
	r := &checkReport{File: o.file, Findings: invalid, Differences: []configcheck.Difference{}}
	inForce := r.readInForce(&o)
	if inForce != nil && site.Upstreams == nil {
		site.Upstreams = inForce.upstreams
	}
	r.examine(value, site, inForce)
	if err := c.print(r, func() { c.printCheck(r) }); err != nil {
		return err
	}
	return checkExit(r.exitCode())
}

// parseCheck parses the flags and the argument of check.
func (c *command) parseCheck(args []string) (o checkOptions, err error) {
	fs := c.flags("check")
	fs.StringVar(&o.against, "against", "", "file with the version in force, to list the differences")
	fs.StringVar(&o.store, "store", "", "address of the platform's store with the version in force, IP and port")
	fs.StringVar(&o.upstreams, "upstreams", "", "file with the upstreams' entries: an object by ID, the entries as in the store")
	fs.StringVar(&o.format, "format", "text", "text or json")
	fs.IntVar(&o.instances, "instances", 0, "number of instances, 0 if it is not known")
	rest, err := c.parse(fs, args)
	switch {
	case err != nil:
		return o, err
	case len(rest) != 1:
		return o, usageError("check takes one file: the configuration document")
	case o.against != "" && o.store != "":
		return o, usageError("check compares with one version: use -against or -store")
	case o.format != "text" && o.format != "json":
		return o, usageError(fmt.Sprintf("-format %q is unknown: use text or json", o.format))
	case o.instances < 0:
		return o, usageError("-instances is below 0: give the number of instances")
	}
	o.file, c.json = rest[0], c.json || o.format == "json"
	return o, nil
}

// site reads what is known of the site, and returns findings for upstreams' entries that
// can't be read.
func (o *checkOptions) site() (s configcheck.Site, invalid []configcheck.Finding, err error) {
	s.Instances = o.instances
	invalid = []configcheck.Finding{}
	if o.upstreams == "" {
		return s, invalid, nil
	}
	value, err := readBounded(o.upstreams)
	if err != nil {
		return s, nil, usageError(err.Error())
	}
	list, errs, err := platform.DecodeUpstreams(value)
	if err != nil {
		return s, nil, usageError(fmt.Sprintf("%s: %v", o.upstreams, err))
	}
	s.Upstreams = append([]*discovery.Upstream{}, list...) // not nil: they are known
	for _, err := range errs {
		invalid = append(invalid, configcheck.Finding{
			Severity: configcheck.Warning, Section: "upstreams", Row: configcheck.NoRow,
			What: err.Error() + " (left out)", Remedy: "write the entry as the store holds it",
		})
	}
	return s, invalid, nil
}

// readBounded reads a file of at most maxCheckedFile bytes and maxCheckedCommas commas.
func readBounded(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("%w: name a readable file", err)
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxCheckedFile+1))
	if err != nil {
		return nil, fmt.Errorf("%w: name a readable file", err)
	}
	if len(b) > maxCheckedFile {
		return nil, fmt.Errorf("%s is larger than %d MiB: shorten it", file, maxCheckedFile>>20)
	}
	if bytes.Count(b, []byte{','}) > maxCheckedCommas {
		return nil, fmt.Errorf("%s holds more than %d values: shorten it", file, maxCheckedCommas)
	}
	return b, nil
}

// inForceVersion is the version in force, with the upstreams if the store has them.
type inForceVersion struct {
	view      *configcheck.View
	upstreams []*discovery.Upstream
}

// readInForce reads the version in force if it was asked for, and returns nil if it was not or
// can't be read.
func (r *checkReport) readInForce(o *checkOptions) *inForceVersion {
	if o.against == "" && o.store == "" {
		return nil
	}
	r.Against = o.against + o.store // one of them is empty
	inForce, err := o.readInForce()
	if err != nil {
		r.NotCompared = err.Error()
		return nil
	}
	return inForce
}

// readInForce reads the version in force from the file or the store.
func (o *checkOptions) readInForce() (*inForceVersion, error) {
	if o.store != "" {
		return readInForceFromStore(o.store)
	}
	value, err := readBounded(o.against)
	if err != nil {
		return nil, err
	}
	return decodeInForce(value)
}

// decodeInForce decodes the document of the version in force.
func decodeInForce(value []byte) (*inForceVersion, error) {
	view, invalid := configcheck.Decode(value)
	if invalid != nil {
		return nil, errors.New(invalid.What)
	}
	return &inForceVersion{view: view}, nil
}

// readInForceFromStore reads the version in force and the upstreams from the store at an
// address.
func readInForceFromStore(address string) (*inForceVersion, error) {
	client, err := newStore(address)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	v, err := client.Get(ctx, platform.Keys().Configuration)
	if err != nil {
		return nil, err
	}
	in, err := decodeInForce(v.Data)
	if err != nil {
		return nil, err
	}
	all, err := client.ReadAll(ctx, platform.Keys().UpstreamPrefix)
	if err != nil {
		return nil, err
	}
	in.upstreams = decodeEntries(all.Items)
	return in, nil
}

// decodeEntries decodes upstreams' entries and leaves out those that can't be decoded, as
// instances do. The result is not nil, since the upstreams are known.
func decodeEntries(items []mirror.Item) []*discovery.Upstream {
	list := []*discovery.Upstream{}
	for _, it := range items {
		if u, err := platform.DecodeUpstream(it.Key, it.Value, 0); err == nil {
			list = append(list, u)
		}
	}
	return list
}

// examine adds the findings and the differences from the version in force, nil for none.
func (r *checkReport) examine(value []byte, site configcheck.Site, inForce *inForceVersion) {
	view, invalid := configcheck.Decode(value)
	if invalid != nil {
		r.Findings = append([]configcheck.Finding{*invalid}, r.Findings...)
		return
	}
	r.readable, r.Version = true, view.Document.Version
	r.Findings = append(configcheck.Check(view, site), r.Findings...)
	if inForce != nil {
		r.Differences = append(r.Differences, configcheck.Compare(inForce.view, view)...)
	}
}

// count returns the numbers of errors and warnings.
func (r *checkReport) count() (errorCount, warningCount int) {
	for _, f := range r.Findings {
		if f.Severity == configcheck.Error {
			errorCount++
		} else {
			warningCount++
		}
	}
	return errorCount, warningCount
}

// exitCode returns the exit code of check for the report.
func (r *checkReport) exitCode() int {
	errorCount, warningCount := r.count()
	switch {
	case r.NotCompared != "":
		return CheckNotCompared
	case errorCount > 0:
		return CheckErrors
	case warningCount > 0:
		return CheckWarnings
	}
	return CheckClean
}
