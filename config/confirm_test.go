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
// writes the head, and reads it back where the answer was lost. Each case
// gives the faults of these calls; those after the list are None.
func TestConfirmUnderFaults(t *testing.T) {
	const (
		none  = storetest.None
		down  = storetest.Down
		lost  = storetest.LostCall
		done  = storetest.LostAnswer
		late  = storetest.Late
		stale = storetest.StaleRead
	)
	var unavailable *config.UnavailableError
	var indefinite *config.IndefiniteError
	tests := []struct {
		name   string
		faults []storetest.Fault
		want   any // target of errors.As; nil for accepted
		later  int // revision in force once late writes are released
	}{
		{"no fault", nil, nil, 3},
		{"down before reading", []storetest.Fault{down}, &unavailable, 2},
		{"down before writing", []storetest.Fault{none, none, down}, &unavailable, 2},
		{"answer lost after the write", []storetest.Fault{none, none, done}, nil, 3},
		{"write lost, written again", []storetest.Fault{none, none, lost}, nil, 3},
		{"answer lost, then down", []storetest.Fault{none, none, done, down}, &indefinite, 3},
		{"write lost, then down", []storetest.Fault{none, none, lost, down}, &indefinite, 2},
		{"late write, unmoved head, then down", []storetest.Fault{none, none, late, none, down}, &indefinite, 3},
		{"late write, stale head, then down", []storetest.Fault{none, none, late, stale, down}, &indefinite, 3},
		{"late write, written again", []storetest.Fault{none, none, late}, nil, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMachine()
			for n := range 3 {
				m.startPlan(document(n + 1))
				m.run(0)
				if n < 2 {
					m.startConfirm(m.plans[n])
					m.run(0)
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
				t.Errorf("told %v", err)
			}
			m.heal()
			if diff := cmp.Diff(tt.later, len(m.accepted)); diff != "" || m.broken != nil {
				t.Errorf("revisions (-want +got): %s %v", diff, m.broken)
			}
		})
	}
}
