package policies_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/balance/policies"
)

// A program that embeds a policy keeps a Table of its upstreams, builds a Picker
// by the policy's name, and records the start and the end of each request in the
// Table. Times are durations since the start of the process; the random source
// is seeded by the program.
func Example() {
	table := balance.NewTable([]balance.Upstream{
		{ID: "pistas-01", DataCentre: "otavalo", Slots: 6},
		{ID: "pistas-02", DataCentre: "ibarra", Slots: 6},
	}, "otavalo", nil)
	builder, err := policies.Find(balance.LeastRequest)
	if err != nil {
		fmt.Println(err)
		return
	}
	picker := builder.Build(table)
	rng := rand.New(rand.NewPCG(1, 1))
	now := 10 * time.Millisecond

	busy, _ := table.Index("pistas-01")
	table.Sent(now, busy, balance.Short)
	i, _ := picker.Pick(now, balance.Query{}, rng)
	fmt.Println("picked", table.Upstream(i).ID)

	table.Sent(now, i, balance.Short)
	table.Finished(now+8*time.Millisecond, i, balance.Done{
		Latency: 8 * time.Millisecond,
		Load:    &balance.Load{Outstanding: 3, Slots: 6},
	})
	fmt.Println("in flight", table.InFlight(i))
	// Output:
	// picked pistas-02
	// in flight 0
}

// Find rejects unknown names; a configuration check can use balance.Known.
func ExampleFind() {
	_, err := policies.Find("fastest")
	fmt.Println(err)
	fmt.Println(balance.Known("fastest"))
	// Output:
	// policy "fastest" is not known: use one of hotcold, leastrequest, p2c, roundrobin, random
	// false
}
