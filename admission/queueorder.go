package admission

import "fmt"

// QueueOrder names the order in which calls wait for a slot. The zero value is ByPriority.
type QueueOrder string

// Orders in which calls wait.
const (
	// ByPriority is the order of priority, and among equals of arrival.
	ByPriority QueueOrder = "priority"
	// LeastCost is the order of Compare.
	LeastCost QueueOrder = "least-cost"
	// ByConfiguration is LeastCost for the services whose requests differ in priority by the
	// operators' configuration, and ByPriority for the others.
	ByConfiguration QueueOrder = "configuration"
)

// ParseQueueOrder returns the queue order with the given name.
func ParseQueueOrder(name string) (QueueOrder, error) {
	switch o := QueueOrder(name); o {
	case ByPriority, LeastCost, ByConfiguration:
		return o, nil
	}
	return "", fmt.Errorf("queue order %q is not known: use %s, %s or %s", name, ByPriority, LeastCost, ByConfiguration)
}

// PriorityLabel returns the label of a priority in metrics: 0 to 9, or "other".
func PriorityLabel(priority int) string {
	if priority < 0 || priority > maxLabelledPriority {
		return "other"
	}
	return fmt.Sprint(priority)
}

// maxLabelledPriority is the last priority with a label of its own; operators may
// configure any number of them.
const maxLabelledPriority = 9
