package config_test

import (
	"context"
	"fmt"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/store/storetest"
)

// A plan shows its changes. Confirming it again does not put it in force twice.
func ExampleCommitter() {
	ctx := context.Background()
	store := storetest.NewStore(time.Now, nil)
	c := config.NewCommitter(store.Client("example", nil))
	p, _ := c.Plan(ctx, testDocument(1))
	a, _ := c.Confirm(ctx, p.ID)
	fmt.Println("revision", a.Revision)

	p, _ = c.PlanIntent(ctx, &config.Intent{Drain: []string{"stockview-0"}})
	fmt.Println(p.Summary)
	for _, s := range p.Shifts {
		fmt.Printf("%s in %s: %d -> %d slots\n", s.Service, s.DataCentre, s.SlotsFrom, s.SlotsTo)
	}
	a, _ = c.Confirm(ctx, p.ID)
	repeat, _ := c.Confirm(ctx, p.ID)
	fmt.Println("revision", a.Revision, repeat.Revision, repeat.Repeated)
	// Output:
	// revision 1
	// 1 upstream changed
	// stockview in bole: 6 -> 3 slots
	// stockview in yeka: 6 -> 6 slots
	// revision 2 2 true
}

// A Replica adopts only higher revisions, from any source.
func ExampleReplica() {
	var k config.Replica
	newer := config.NewHead(2, []byte(`{"site": "addis"}`))
	older := config.NewHead(1, []byte(`{"site": "before"}`))
	fmt.Println(k.Offer(newer))
	_, err := k.Offer(older)
	fmt.Println(err)
	fmt.Println(k.Version().Revision, k.Document().Site)
	// Output:
	// true <nil>
	// revision 1 refused, current revision is 2: older than the current one: no action needed
	// 2 addis
}

// Check reports all invalid values at once.
func ExampleDocument_Check() {
	d := testDocument(1)
	d.MaxEntries = 0
	d.Services[0].Upstreams[1].Slots = -1
	for _, e := range config.CheckErrors(d.Check()) {
		fmt.Println(e)
	}
	// Output:
	// max_entries: 0 is not between 1 and 10000: set the maximum number of entries that run at once
	// services[0].upstreams[1].slots: -1 is not between 1 and 100000: set the number of requests it processes concurrently
}
