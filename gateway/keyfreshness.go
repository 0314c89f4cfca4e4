package gateway

import "time"

const (
	// keyMargin is the part of Limits.KeyMaxAge that is left for a request to reach its
	// upstream after the check, and for clocks that run apart.
	keyMargin = 250 * time.Millisecond
	// unreadyShare is the share of Limits.KeyMaxAge from which the instance is not ready:
	// the rest is time for lookups to turn callers away before they are refused.
	unreadyShare = 0.6
)

// keyFreshness decides whether keys are served with a copy of the store of some age. It
// answers the loss of the store or of the links to it: a key that was withdrawn meanwhile
// must stop working. It does no I/O and reads no clock.
type keyFreshness struct {
	// maxAge is Limits.KeyMaxAge; 0 sets no limit.
	maxAge time.Duration
}

// serves reports whether requests with keys are served.
func (k keyFreshness) serves(age time.Duration) bool {
	return k.maxAge == 0 || age < k.maxAge-keyMargin
}

// ready reports whether lookups may return the instance: earlier than it refuses keys.
func (k keyFreshness) ready(age time.Duration) bool {
	return k.serves(age) && (k.maxAge == 0 || age < time.Duration(unreadyShare*float64(k.maxAge)))
}

// States of an instance whose copy of the store is old.
const (
	// stateUnready: lookups do not return the instance, which serves all requests.
	stateUnready = "not-ready"
	// stateRefusing: requests with keys are refused.
	stateRefusing = "refusing-keys"
)

// keyStates holds which states an instance is in, and since when. It is not safe for
// concurrent use.
type keyStates struct{ unready, refusing stateSince }

// stateSince is whether an instance is in a state, and when it last entered or left it.
type stateSince struct {
	in    bool
	since time.Duration
}

// keyStateChange is the start of a state, or its end after it lasted for a time.
type keyStateChange struct {
	state  string
	began  bool
	lasted time.Duration
}

// update records the age of the copy now, and returns the states that begin or end.
func (s *keyStates) update(now, age time.Duration, k keyFreshness) (changes []keyStateChange) {
	for _, c := range []struct {
		name  string
		state *stateSince
		in    bool
	}{
		{stateUnready, &s.unready, !k.ready(age)},
		{stateRefusing, &s.refusing, !k.serves(age)},
	} {
		if c.in == c.state.in {
			continue
		}
		change := keyStateChange{state: c.name, began: c.in}
		if !c.in {
			change.lasted = now - c.state.since
		}
		changes = append(changes, change)
		*c.state = stateSince{in: c.in, since: now}
	}
	return changes
}
