package config_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinrouter/catkinrouter/config"
)

// headOf returns the head of a document with the given revision.
func headOf(t testing.TB, revision uint64, doc *config.Document) config.Head {
	t.Helper()
	b, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return config.NewHead(revision, b)
}

func TestReplicaAdoptsOnlyHigherConsistentHeads(t *testing.T) {
	current := headOf(t, 5, testDocument(1))
	truncated := headOf(t, 6, testDocument(2))
	truncated.Document = truncated.Document[:len(truncated.Document)-1]
	renumbered := headOf(t, 6, testDocument(2))
	renumbered.Revision = 900
	undecodable := config.NewHead(6, json.RawMessage(`{"site": 5}`))
	tests := []struct {
		name    string
		offer   config.Head
		adopted bool
		kind    config.OfferKind // 0 if not refused
	}{
		{"higher", headOf(t, 6, testDocument(2)), true, 0},
		{"much higher", headOf(t, 60, testDocument(2)), true, 0},
		{"same", current, false, 0},
		{"older", headOf(t, 4, testDocument(2)), false, config.OfferOlder},
		{"none", config.Head{}, false, config.OfferOlder},
		{"same revision, other document", headOf(t, 5, testDocument(2)), false, config.OfferConflict},
		{"truncated", truncated, false, config.OfferCorrupt},
		{"revision changed", renumbered, false, config.OfferCorrupt},
		{"undecodable", undecodable, false, config.OfferUndecodable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var k config.Replica
			if _, err := k.Offer(current); err != nil {
				t.Fatal(err)
			}
			adopted, err := k.Offer(tt.offer)
			var refused *config.OfferError
			if errors.As(err, &refused) != (tt.kind != 0) || (refused != nil && refused.Kind != tt.kind) {
				t.Fatalf("error %v, want kind %q", err, tt.kind)
			}
			want := current
			if tt.adopted {
				want = tt.offer
			}
			if diff := cmp.Diff(want, k.Head()); adopted != tt.adopted || diff != "" {
				t.Fatalf("adopted %v, want %v; current head (-want +got):\n%s", adopted, tt.adopted, diff)
			}
		})
	}
}
