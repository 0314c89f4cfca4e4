package probe_test

import (
	"fmt"
	"time"

	"github.com/catkinrouter/catkinrouter/probe"
)

// If probes of 6 ms from 18 entries may use 0.5% of an upstream's 3 slots, each
// entry may send one probe every 7.2 s.
func ExampleBudget() {
	b := probe.NewBudget(0, probe.Settings{Share: 0.005, Cost: 6 * time.Millisecond, Entries: 18}, 3)
	for _, at := range []time.Duration{0, 7 * time.Second, 7201 * time.Millisecond, 8 * time.Second} {
		fmt.Println(at, b.Allow(at))
	}
	// Output:
	// 0s false
	// 7s false
	// 7.201s true
	// 8s false
}
