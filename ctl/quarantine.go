package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/platform"
	"github.com/catkinrouter/catkinrouter/quarantine"
	"github.com/catkinrouter/catkinrouter/store"
)

// quarantine prints the requests that the instances on a platform keep from the
// upstreams, or lifts the quarantine of one.
func (c *command) quarantine(args []string) error {
	fs := c.flags("quarantine")
	address := storeFlag(fs)
	rest, err := c.parse(fs, args)
	if err != nil {
		return err
	}
	client, err := newStore(*address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	l := quarantineList{store: client, key: platform.Keys().Quarantine}
	if err := l.read(ctx); err != nil {
		return err
	}
	switch {
	case len(rest) == 0:
		return c.printQuarantine(l.entries, time.Now())
	case len(rest) == 2 && rest[0] == "lift":
		return l.lift(ctx, rest[1], time.Now())
	}
	return usageError("quarantine takes no argument, or lift and the content of a request: without an argument it lists them")
}

// quarantineList is the list in the store.
type quarantineList struct {
	store    *platform.Store
	key      string
	entries  []quarantine.Entry
	revision int64
}

// read reads the list. A store without the key has an empty one.
func (l *quarantineList) read(ctx context.Context) error {
	v, err := l.store.Get(ctx, l.key)
	if store.IsKind(err, store.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	l.revision = v.Revision
	l.entries, err = quarantine.Decode(v.Data)
	return err
}

// lift writes the list back with one quarantine lifted. Instances follow it, as they
// follow each change of the store.
func (l *quarantineList) lift(ctx context.Context, text string, now time.Time) error {
	var content quarantine.Content
	if err := content.UnmarshalText([]byte(text)); err != nil {
		return usageError(err.Error() + ": quarantine without an argument lists them")
	}
	entries, found := quarantine.Lift(l.entries, content, now)
	if !found {
		return usageError(fmt.Sprintf("content %s is not quarantined: quarantine without an argument lists what is", content))
	}
	value, err := quarantine.Encode(entries)
	if err != nil {
		return err
	}
	_, err = l.store.Put(ctx, l.key, value, l.revision, 0)
	return err
}

// printQuarantine prints the quarantined requests and until when each is.
func (c *command) printQuarantine(entries []quarantine.Entry, now time.Time) error {
	entries = slices.DeleteFunc(entries, func(e quarantine.Entry) bool { return !e.InForce(now) })
	if c.json {
		return json.NewEncoder(c.stdout).Encode(entries)
	}
	for _, e := range entries {
		until := time.UnixMilli(e.UntilUnixMilli).UTC()
		if _, err := fmt.Fprintf(c.stdout, "%s until %s\n", e.Content, until.Format(time.RFC3339)); err != nil {
			return err
		}
	}
	return nil
}
