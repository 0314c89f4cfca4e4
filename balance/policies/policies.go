// Package policies lists the load-balancing policies.
package policies

import (
	"fmt"
	"strings"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/balance/hotcold"
	"github.com/catkinrouter/catkinrouter/balance/leastrequest"
	"github.com/catkinrouter/catkinrouter/balance/p2c"
	"github.com/catkinrouter/catkinrouter/balance/random"
	"github.com/catkinrouter/catkinrouter/balance/roundrobin"
)

// All returns the builders of all policies, in the order of balance.Names.
func All() []balance.Builder {
	return []balance.Builder{
		hotcold.Builder{}, leastrequest.Builder{}, p2c.Builder{}, roundrobin.Builder{}, random.Builder{},
	}
}

// UnknownError reports a name that is not the name of a policy.
type UnknownError struct{ Name string }

// Error returns a message that lists the known policies.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("policy %q is not known: use one of %s", e.Name, strings.Join(balance.Names(), ", "))
}

// Find returns the builder of the policy with this name, or an *UnknownError.
func Find(name string) (balance.Builder, error) {
	for _, b := range All() {
		if b.Name() == name {
			return b, nil
		}
	}
	return nil, &UnknownError{Name: name}
}
