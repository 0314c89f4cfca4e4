package config_test

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/store/storetest"
)

// A confirm calls the store in a fixed order: it reads the head and the plan,
// writes the head, and reads it back if the write got no answer. Each case
// lists the faults of these calls; later calls have none.
func TestConfirmUnderFaults(t *testing.T) {
	const (
		none         = storetest.None
		down         = storetest.Down
		lostRequest  = storetest.LostRequest
		lostResponse = storetest.LostResponse
		delayed      = storetest.DelayedWrite
		staleRead    = storetest.StaleRead
	)
	var unavailable *config.UnavailableError
	var indefinite *config.IndefiniteError
	tests := []struct {
		name     string
		faults   []storetest.Fault
		want     any // target of errors.As; nil if the plan is accepted
		revision int // in force after the delayed writes have taken effect
	}{
		{"no fault", nil, nil, 3},
		{"down before reading", []storetest.Fault{down}, &unavailable, 2},
		{"down before writing", []storetest.Fault{none, none, down}, &unavailable, 2},
		{"answer lost after the write", []storetest.Fault{none, none, lostResponse}, nil, 3},
		{"write lost, retried", []storetest.Fault{none, none, lostRequest}, nil, 3},
		{"answer lost, then down", []storetest.Fault{none, none, lostResponse, down}, &indefinite, 3},
		{"write lost, then down", []storetest.Fault{none, none, lostRequest, down}, &indefinite, 2},
		{"late write, unchanged head, then down", []storetest.Fault{none, none, delayed, none, down}, &indefinite, 3},
		{"late write, stale head, then down", []storetest.Fault{none, none, delayed, staleRead, down}, &indefinite, 3},
		{"late write, retried", []storetest.Fault{none, none, delayed}, nil, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newStateMachine()
			for n := range 3 {
				m.startPlan(testDocument(n + 1))
				m.complete(0)
				if n < 2 {
					m.startConfirm(m.plans[n])
					m.complete(0)
				}
			}
			var err error
			p := m.store.Go("confirm", func(c *storetest.Client) {
				_, err = config.NewCommitter(c).Confirm(context.Background(), m.plans[2])
			})
			for i := 0; !p.Done(); i++ {
				f := none
				if i < len(tt.faults) {
					f = tt.faults[i]
				}
				p.Step(f)
			}
			if tt.want == nil && err != nil || tt.want != nil && !errors.As(err, tt.want) {
				t.Errorf("confirm returned %v", err)
			}
			m.completeAll()
			if diff := cmp.Diff(tt.revision, len(m.accepted)); diff != "" || m.violation != nil {
				t.Errorf("revisions (-want +got): %s %v", diff, m.violation)
			}
		})
	}
}
