// Package customer holds the customers of a configuration and finds the customer that
// holds an API key. It does no I/O.
package customer

// Customer is one customer of the configuration.
type Customer struct {
	Name string
	// Priority replaces that of the routes if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	Limit       Limit
}

// Limit bounds the requests of a customer, summed over all instances. The zero value
// sets no limit.
type Limit struct {
	// PerSecond is the sustained rate; 0 sets no limit.
	PerSecond float64
	// Burst is the number of requests that may come at once.
	Burst float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// PriorityOr returns the customer's priority, or that of the route if the customer has
// none. c may be nil.
func (c *Customer) PriorityOr(route int) int {
	if c != nil && c.HasPriority {
		return c.Priority
	}
	return route
}
