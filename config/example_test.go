package config_test

import (
	"context"
	"fmt"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/store/storetest"
)

// A plan shows what would change; confirming it moves the head once.
func ExampleCommitter() {
	ctx := context.Background()
	store := storetest.NewStore(time.Now, nil)
	c := config.NewCommitter(store.Client("example", nil))
	p, _ := c.Plan(ctx, document(1))
	a, _ := c.Confirm(ctx, p.ID)
	fmt.Println("revision", a.Revision)

	p, _ = c.PlanIntent(ctx, &config.Intent{Drain: []string{"stockview-0"}})
	fmt.Println(p.Summary)
	for _, s := range p.Shifts {
		fmt.Printf("%s in %s: %d -> %d slots\n", s.Service, s.DataCentre, s.SlotsFrom, s.SlotsTo)
	}
	a, _ = c.Confirm(ctx, p.ID)
	again, _ := c.Confirm(ctx, p.ID)
	fmt.Println("revision", a.Revision, again.Revision, again.Repeated)
	// Output:
	// revision 1
	// 1 upstream changed
	// stockview in bole: 6 -> 3 slots
	// stockview in yeka: 6 -> 6 slots
	// revision 2 2 true
}

// A Keeper takes only higher revisions, whoever offers them.
func ExampleKeeper() {
	var k config.Keeper
	newer := config.NewHead(2, []byte(`{"site": "addis"}`))
	older := config.NewHead(1, []byte(`{"site": "before"}`))
	fmt.Println(k.Offer(newer))
	_, err := k.Offer(older)
	fmt.Println(err)
	fmt.Println(k.Version().Revision, k.Document().Site)
	// Output:
	// true <nil>
	// revision 1 refused, revision 2 is held: older than the one held: nothing to do
	// 2 addis
}

// Check tells every fault at once.
func ExampleDocument_Check() {
	d := document(1)
	d.MaxEntries = 0
	d.Services[0].Upstreams[1].Slots = -1
	for _, e := range config.CheckErrors(d.Check()) {
		fmt.Println(e)
	}
	// Output:
	// max_entries: 0 is not between 1 and 10000: set the most entries that run at once
	// services[0].upstreams[1].slots: -1 is not between 1 and 100000: set the number of requests it works on at once
}
