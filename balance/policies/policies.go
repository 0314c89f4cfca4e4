// Package policies lists the picking policies.
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

// UnknownError tells of a policy's name that is not known.
type UnknownError struct{ Name string }

// Error names the policies to choose from.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("policy %q is not known: use one of %s", e.Name, strings.Join(balance.Names(), ", "))
}

// Find returns the builder of the policy called name, or an *UnknownError.
func Find(name string) (balance.Builder, error) {
	for _, b := range All() {
		if b.Name() == name {
			return b, nil
		}
	}
	return nil, &UnknownError{Name: name}
}
