package config_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/store/storetest"
)

// committerWith returns a Committer on a store in which docs were confirmed in
// order.
func committerWith(t *testing.T, docs ...*config.Document) *config.Committer {
	t.Helper()
	store := storetest.NewStore(time.Now, nil)
	c := config.NewCommitter(store.Client("test", nil))
	for _, d := range docs {
		p, err := c.Plan(t.Context(), d)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Confirm(t.Context(), p.ID); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func TestPlanShowsWhatChanges(t *testing.T) {
	upstream := func(kind config.ChangeKind, id string, fields ...config.FieldChange) config.Change {
		return config.Change{Kind: kind, Subject: config.SubjectUpstream, Service: "stockview", Name: id, Fields: fields}
	}
	secret := []byte("ffffffffffffffffffffffffffffffff")
	tests := []struct {
		name     string
		edit     func(*config.Document)
		changes  []config.Change
		shifts   []config.Shift
		warnings []config.WarningKind
	}{
		{"nothing", func(*config.Document) {}, nil, nil, nil},
		{"upstream removed", func(d *config.Document) {
			d.Services[0].Upstreams = d.Services[0].Upstreams[:3]
		}, []config.Change{upstream(config.Removed, "stockview-3")}, []config.Shift{
			{Service: "stockview", DataCentre: "bole", SlotsFrom: 6, SlotsTo: 6, ShareFrom: 0.5, ShareTo: 6.0 / 9},
			{Service: "stockview", DataCentre: "yeka", SlotsFrom: 6, SlotsTo: 3, ShareFrom: 0.5, ShareTo: 3.0 / 9},
		}, []config.WarningKind{config.WarnUpstreamNotDrained}},
		{"data centre drained", func(d *config.Document) {
			d.Services[0].Upstreams[1].Leaving, d.Services[0].Upstreams[3].Leaving = true, true
		}, []config.Change{
			upstream(config.Changed, "stockview-1", config.FieldChange{Field: "leaving", To: "true"}),
			upstream(config.Changed, "stockview-3", config.FieldChange{Field: "leaving", To: "true"}),
		}, []config.Shift{
			{Service: "stockview", DataCentre: "bole", SlotsFrom: 6, SlotsTo: 6, ShareFrom: 0.5, ShareTo: 1},
			{Service: "stockview", DataCentre: "yeka", SlotsFrom: 6, ShareFrom: 0.5},
		}, []config.WarningKind{config.WarnCapacityHalved, config.WarnDataCentreEmptied}},
		{"service removed", func(d *config.Document) {
			d.Services[0].Name, d.Services[0].Upstreams = "menus", nil
		}, []config.Change{
			{Kind: config.Added, Subject: config.SubjectService, Service: "menus", Name: "menus"},
			{Kind: config.Changed, Subject: config.SubjectRules, Service: "menus", Fields: []config.FieldChange{{Field: "queue", To: "1"}}},
			{Kind: config.Removed, Subject: config.SubjectService, Service: "stockview", Name: "stockview"},
			upstream(config.Removed, "stockview-0"), upstream(config.Removed, "stockview-1"),
			upstream(config.Removed, "stockview-2"), upstream(config.Removed, "stockview-3"),
		}, []config.Shift{
			{Service: "stockview", DataCentre: "bole", SlotsFrom: 6, ShareFrom: 0.5},
			{Service: "stockview", DataCentre: "yeka", SlotsFrom: 6, ShareFrom: 0.5},
		}, []config.WarningKind{
			config.WarnServiceEmpty, config.WarnServiceRemoved, config.WarnDataCentreEmptied, config.WarnDataCentreEmptied,
			config.WarnUpstreamNotDrained, config.WarnUpstreamNotDrained, config.WarnUpstreamNotDrained, config.WarnUpstreamNotDrained,
		}},
		{"signing key replaced in one plan", func(d *config.Document) {
			d.PermitKeys = []config.PermitKey{{ID: "k2", Secret: secret}}
		}, []config.Change{
			{Kind: config.Added, Subject: config.SubjectPermitKey, Name: "k2"},
			{Kind: config.Removed, Subject: config.SubjectPermitKey, Name: "k1"},
			{Kind: config.Changed, Subject: config.SubjectPermitKey, Fields: []config.FieldChange{{Field: "signing", From: "k1", To: "k2"}}},
		}, nil, []config.WarningKind{config.WarnSigningKeyRemoved, config.WarnSigningKeyUnseen}},
		{"key added", func(d *config.Document) {
			d.PermitKeys = append(d.PermitKeys, config.PermitKey{ID: "k2", Secret: secret})
		}, []config.Change{{Kind: config.Added, Subject: config.SubjectPermitKey, Name: "k2"}}, nil, nil},
		{"limits lowered", func(d *config.Document) {
			d.Lookup.Lifetime, d.MaxEntries = config.Duration(time.Second), 6
		}, []config.Change{
			{Kind: config.Changed, Subject: config.SubjectMaxEntries, Fields: []config.FieldChange{{Field: "max_entries", From: "19", To: "6"}}},
			{Kind: config.Changed, Subject: config.SubjectLookup, Fields: []config.FieldChange{{Field: "lifetime", From: `"10s"`, To: `"1s"`}}},
		}, nil, []config.WarningKind{config.WarnLifetimeShortened, config.WarnMaxEntriesLowered}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := testDocument(1)
			tt.edit(d)
			p, err := committerWith(t, testDocument(1)).Plan(t.Context(), d)
			if err != nil {
				t.Fatal(err)
			}
			var kinds []config.WarningKind
			for _, w := range p.Warnings {
				kinds = append(kinds, w.Kind)
			}
			for what, diff := range map[string]string{
				"changes":  cmp.Diff(tt.changes, p.Changes),
				"shifts":   cmp.Diff(tt.shifts, p.Shifts),
				"warnings": cmp.Diff(tt.warnings, kinds),
			} {
				if diff != "" {
					t.Errorf("%s (-want +got):\n%s", what, diff)
				}
			}
			if p.Unchanged != (len(tt.changes) == 0) {
				t.Errorf("plan marked as unchanged: %v", p.Unchanged)
			}
		})
	}
}

func TestIntentApply(t *testing.T) {
	added := config.Upstream{ID: "new", Address: "10.0.0.9:80", DataCentre: "bole", Slots: 3, Connections: 250}
	in := config.Intent{
		Add: []config.AddUpstream{{Service: "stockview", Upstream: added}}, Drain: []string{"stockview-0"}, Remove: []string{"stockview-1"},
	}
	got, err := in.Apply(testDocument(1))
	if err != nil {
		t.Fatal(err)
	}
	want := testDocument(1)
	upstreams := want.Services[0].Upstreams
	upstreams[0].Leaving = true
	want.Services[0].Upstreams = append(append(upstreams[:1:1], upstreams[2:]...), added)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("document (-want +got):\n%s", diff)
	}
	invalid := config.Intent{Add: []config.AddUpstream{{Service: "x"}}, Drain: []string{"y"}, Undrain: []string{"z"}, Remove: []string{"w"}}
	_, err = invalid.Apply(testDocument(1))
	if n := len(config.CheckErrors(err)); n != 4 {
		t.Errorf("%d check errors, want 4: %v", n, err)
	}
	for name, doc := range map[string]*config.Document{"no document": nil, "empty intent": testDocument(1)} {
		if _, err := (&config.Intent{}).Apply(doc); len(config.CheckErrors(err)) != 1 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestConfirmDistinguishesStaleFromUnsettled(t *testing.T) {
	c := committerWith(t, testDocument(1))
	stale, err := c.Plan(t.Context(), testDocument(2))
	if err != nil {
		t.Fatal(err)
	}
	confirm := func(n int) {
		p, err := c.Plan(context.Background(), testDocument(n))
		if err == nil {
			_, err = c.Confirm(context.Background(), p.ID)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	confirm(3)
	var s *config.StaleError
	if _, err := c.Confirm(t.Context(), stale.ID); !errors.As(err, &s) || s.Revision != 2 || len(s.Intervening) != 1 || len(s.Changes) != 1 {
		t.Fatalf("confirm of a stale plan: %+v, %v", s, err)
	}
	for i := range config.MaxRecentCommits {
		confirm(10 + i)
	}
	var u *config.UnsettledError
	if _, err := c.Confirm(t.Context(), stale.ID); !errors.As(err, &u) {
		t.Fatalf("confirm of a plan older than the commits kept: %v", err)
	}
}
