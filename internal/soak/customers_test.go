package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// keyMark begins every API key, so that a key is found wherever an upstream sees one.
	keyMark = "soak-key-"
	forged  = "x-catkinrouter-Tenant: forged\r\n" // a customer's name that no upstream may see
	// unlimited is a customer whose requests no limit refuses.
	unlimited = "alder"
	// Bounds of settingsText; revokeBound is revokeMs.
	revokeBound    = 3 * time.Second
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// customerNames are the names of the customers.
var customerNames = []string{unlimited, "birch", "cedar"}

// customers are the customers of a run. Those of a run that is off send no keys, and the
// configuration has none.
type customers struct {
	on bool

	mu  sync.Mutex
	rng *rand.Rand
	// keys holds the key in force by customer, old the ones withdrawn by customer.
	keys, old map[string]string
	issued    int
	limits    map[string][2]int // rate a second and burst, by customer with a limit
}

// credentials are what a caller sends to say who it is.
type credentials struct {
	headers string
	key     string
	// customer is the owner of the key. Callers of none may not be served: unknown says why.
	customer, unknown string
}

// newCustomers returns the customers of a seed, which are on in half of the seeds. Seeds that
// failed without customers stay without: refused callers would thin out their requests.
func newCustomers(seed uint64) *customers {
	c := &customers{rng: rand.New(rand.NewPCG(seed, 1003)), keys: map[string]string{}, old: map[string]string{}, limits: map[string][2]int{}}
	c.on = c.rng.IntN(2) == 0 && !slices.Contains(regressionSeeds, seed)
	limitRNG := rand.New(rand.NewPCG(seed, 1005))
	limited := limitRNG.IntN(2) == 0
	for _, name := range customerNames {
		c.issue(name)
		if limited && name != unlimited {
			c.limits[name] = [2]int{2 + limitRNG.IntN(9), 1 + limitRNG.IntN(10)}
		}
	}
	return c
}

// issue gives the customer a new key. The caller holds the lock, or is the only one.
func (c *customers) issue(name string) {
	c.issued++
	c.keys[name] = fmt.Sprintf("%s%d-%d", keyMark, c.issued, c.rng.Uint64())
}

// replaceKey gives one customer a new key in place of its old one, which it returns. It
// is withdrawn with the next configuration.
func (c *customers) replaceKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := customerNames[c.rng.IntN(len(customerNames))]
	c.old[name] = c.keys[name]
	c.issue(name)
	return c.old[name]
}

// table returns the configuration's table of customers with the comma before it.
func (c *customers) table() string {
	if !c.on {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []string
	for _, name := range customerNames {
		rows = append(rows, fmt.Sprintf("[%q,[%q],%d,%d]", name, c.keys[name], c.limits[name][0], c.limits[name][1]))
	}
	return `,"tenants":{"columns":["name","apiKeys","ratePerS","burst"],"rows":[` + strings.Join(rows, ",") + "]}"
}

// pick returns what the next caller sends: mostly a key in force or one withdrawn.
func (c *customers) pick() credentials {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.on {
		return c.current(unlimited)
	}
	name := customerNames[c.rng.IntN(len(customerNames))]
	switch c.rng.IntN(10) {
	case 0:
		return credentials{headers: forged, unknown: "no key"}
	case 1:
		return credentials{headers: authorization(keyMark+"0") + forged, unknown: "a key that never existed"}
	case 2:
		return credentials{headers: authorization(c.keys[name]) + authorization(c.keys[unlimited]) + forged, unknown: "two keys"}
	case 3, 4, 5:
		if old, ok := c.old[name]; ok {
			return credentials{headers: authorization(old) + forged, key: old, customer: name}
		}
	}
	return c.current(name)
}

// current returns the credentials in force of a customer. The caller holds the lock, or is the only one.
func (c *customers) current(name string) credentials {
	if !c.on {
		return credentials{headers: forged}
	}
	return credentials{headers: authorization(c.keys[name]) + forged, key: c.keys[name], customer: name}
}

func authorization(key string) string { return "Authorization: Bearer " + key + "\r\n" }

// checkNoKey checks that a request to an upstream, also one for its health, holds no key.
func (u *upstream) checkNoKey(r *http.Request) {
	if strings.Contains(fmt.Sprint(r.RequestURI, r.Header), keyMark) {
		u.ledger.addViolation("upstream %s saw a key in a request for %s", u.id, r.URL.Path)
	}
}

// checkCustomer checks that a request that an upstream is about to run names the customer whose
// key the caller sent, and that the key was in force. The caller holds the ledger's lock.
func (u *upstream) checkCustomer(r *http.Request, id string, arrived time.Time) {
	l, sent := u.ledger, u.ledger.sentTo[id]
	if !u.proxy.withheldSince(sent.at) { // else when it was sent to the upstream is unknown
		l.ran[sent.from.customer] = append(l.ran[sent.from.customer], arrived)
	}
	if sent.from.unknown != "" {
		l.violations = append(l.violations, fmt.Sprintf("request %s ran by %s, sent with %s", id, sent.key, sent.from.unknown))
	}
	got := strings.Join(r.Header.Values("X-Catkinrouter-Tenant"), ",")
	if got != sent.from.customer {
		l.violations = append(l.violations, fmt.Sprintf("request %s of the customer %q came with the name %q by %s", id, sent.from.customer, got, sent.key))
	}
	at, withdrawn := l.withdrawn[sent.from.key]
	if late := sent.at.Sub(at); withdrawn && late > revokeBound {
		l.violations = append(l.violations, fmt.Sprintf("request %s ran by %s, sent %v after its key was withdrawn", id, sent.key, late))
	}
}

// checkLimits checks that the upstreams ran no more requests of a customer in any window than
// its limit lets through. The caller holds the ledger's lock.
func (c *customers) checkLimits(l *ledger) {
	for name, limit := range c.limits {
		ran := l.ran[name]
		slices.SortFunc(ran, time.Time.Compare)
		most := int((float64(limit[0])*quotaWindow.Seconds()+float64(limit[1]))*(1+quotaOvershoot) + quotaSlack)
		for i := most; i < len(ran); i++ {
			if took := ran[i].Sub(ran[i-most]); took < quotaWindow-addedDelay {
				l.violations = append(l.violations, fmt.Sprintf("%d requests of %s ran within %v, its limit is %v", most+1, name, took, limit))
				break
			}
		}
	}
}
