package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"

	"github.com/catkinrouter/catkinrouter/platform"
	"github.com/catkinrouter/catkinrouter/route"
	"github.com/catkinrouter/catkinrouter/store"
)

// storeFlag adds the flag of the platform's store.
func storeFlag(fs *flag.FlagSet) *string {
	return fs.String("store", "", "address of the platform's store, IP and port")
}

// newStore returns a client of the platform's store.
func newStore(address string) (*platform.Store, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, usageError(fmt.Sprintf("-store %q is not an IP address and port: write it like 127.0.0.1:8541", address))
	}
	return platform.NewStore(address), nil
}

// storeStatus is the configuration in the platform's store as the instances read it.
type storeStatus struct {
	Version  uint64          `json:"version"`
	Revision int64           `json:"revision"`
	Routes   int             `json:"routes"`
	Services int             `json:"services"`
	Problems []route.Problem `json:"problems"`
}

// storeStatus prints the status of the configuration in the store at the address.
func (c *command) storeStatus(address string) error {
	client, err := newStore(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	s, err := readStoreStatus(ctx, client)
	if err != nil {
		return err
	}
	return c.print(s, func() { c.printStoreStatus(s) })
}

func readStoreStatus(ctx context.Context, client *platform.Store) (*storeStatus, error) {
	key := platform.Keys().Configuration
	v, err := client.Get(ctx, key)
	if store.IsKind(err, store.NotFound) {
		return nil, fmt.Errorf("the store has no key %q: write a configuration, the instances refuse all requests until then", key)
	}
	if err != nil {
		return nil, err
	}
	doc, err := platform.DecodeDocument(v.Data)
	if err != nil {
		return nil, fmt.Errorf("key %q, revision %d, can't be read: %w: instances keep the configuration before, write a new one", key, v.Revision, err)
	}
	return &storeStatus{
		Version: doc.Version, Revision: v.Revision, Routes: len(doc.Rules), Services: len(doc.Services), Problems: doc.Problems,
	}, nil
}

func (c *command) printStoreStatus(s *storeStatus) {
	fmt.Fprintf(c.stdout, "configuration version %d, revision %d: %d routes, %d services, %d problems\n", s.Version, s.Revision, s.Routes, s.Services, len(s.Problems))
	if len(s.Problems) == 0 {
		return
	}
	writeTable(c.stdout, func(w io.Writer) {
		fmt.Fprintln(w, "  table\trow\tname\tfield\tproblem\teffect")
		for _, p := range s.Problems {
			fmt.Fprintf(w, "  %s\t%d\t%s\t%s\t%s\t%s\n", p.Table, p.Row, p.Name, p.Field, p.Why, p.Effect)
		}
	})
}
