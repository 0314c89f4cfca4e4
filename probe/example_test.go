package probe_test

import (
	"fmt"
	"time"

	"github.com/catkinrouter/catkinrouter/probe"
)

// Probes of 6 ms may use 0.5% of the 3 slots of an upstream, over 18 entries:
// one probe each 7.2 s from each of them.
func ExampleBudget() {
	b := probe.NewBudget(0, probe.Settings{Share: 0.005, Cost: 6 * time.Millisecond, Entries: 18}, 3)
	for _, at := range []time.Duration{0, 7 * time.Second, 7201 * time.Millisecond, 8 * time.Second} {
		fmt.Println(at, b.Take(at))
	}
	// Output:
	// 0s false
	// 7s false
	// 7.201s true
	// 8s false
}
