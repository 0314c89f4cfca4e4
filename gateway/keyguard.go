package gateway

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"
)

// keyGuard holds the age of the copy of the store from which API keys are refused, and the
// states that the present age leads to.
type keyGuard struct {
	// maxAge is Limits.KeyMaxAge, in nanoseconds.
	maxAge atomic.Int64
	mu     sync.Mutex
	states keyStates
}

// freshness returns the decision for the limit in force.
func (k *keyGuard) freshness() keyFreshness {
	return keyFreshness{maxAge: time.Duration(k.maxAge.Load())}
}

// keyCopyAge returns the age of the copy of the store, 0 if no age refuses keys.
func (g *Gateway) keyCopyAge() time.Duration {
	if g.keys.maxAge.Load() == 0 {
		return 0
	}
	return g.hooks.CopyAge()
}

// copyAge is keyCopyAge, and 0 if the configuration in force has no customers.
func (g *Gateway) copyAge() time.Duration {
	if snap := g.snapshot.Load(); snap == nil || snap.table.Customers == nil {
		return 0
	}
	return g.keyCopyAge()
}

// confirmationPoll is the time between two looks at whether the first copy is confirmed.
const confirmationPoll = 2 * time.Millisecond

// waitForConfirmation waits until the first copy of the store is confirmed, for at most
// startupWait. The confirmation follows the first configuration at once.
func (g *Gateway) waitForConfirmation() {
	for end := time.Now().Add(g.startupWait); g.copyAge() == unknownAge && time.Now().Before(end); {
		time.Sleep(confirmationPoll)
	}
}

// unknownAge is the age of a copy of the store that was never confirmed complete.
const unknownAge = time.Duration(math.MaxInt64)

// servesKeys reports whether the copy of the store is new enough for requests with keys.
func (g *Gateway) servesKeys() bool { return g.keys.freshness().serves(g.copyAge()) }

// CheckKeys logs and counts the key states that began or ended since the last check. It must
// be called from time to time.
func (g *Gateway) CheckKeys() {
	g.keys.mu.Lock()
	defer g.keys.mu.Unlock()
	age := g.copyAge()
	for _, c := range g.keys.states.update(g.now(), age, g.keys.freshness()) {
		msg, kv := "key state ended: copy of the store is new enough", []any{"state", c.state, "lasted", c.lasted}
		if c.began {
			msg, kv = "key state began: copy of the store is too old", []any{"state", c.state}
			gometrics.GetOrRegisterCounter("key_states_total."+c.state, g.metrics.registry).Inc(1)
		}
		kv = append([]any{"msg", msg}, append(kv, "copy_age", ageText(age), "limit", time.Duration(g.keys.maxAge.Load()))...)
		if err := level.Warn(g.log).Log(kv...); err != nil {
			g.metrics.logFailures.Inc(1)
		}
	}
}

// ageText returns an age as it is logged.
func ageText(age time.Duration) string {
	if age == unknownAge {
		return "unknown"
	}
	return age.String()
}

// registerKeysServed adds a gauge that is 1 while requests with keys are served.
func (g *Gateway) registerKeysServed(registry gometrics.Registry) {
	registry.GetOrRegister("keys_served", gometrics.NewFunctionalGauge(func() int64 {
		if g.snapshot.Load() != nil && g.servesKeys() {
			return 1
		}
		return 0
	}))
}
