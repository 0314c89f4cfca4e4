package config_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinrouter/catkinrouter/config"
)

func headOf(t testing.TB, revision uint64, doc *config.Document) config.Head {
	t.Helper()
	b, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return config.NewHead(revision, b)
}

func TestKeeperTakesOnlyHigherIntactHeads(t *testing.T) {
	held := headOf(t, 5, document(1))
	truncated := headOf(t, 6, document(2))
	truncated.Document = truncated.Document[:len(truncated.Document)-1]
	renumbered := headOf(t, 6, document(2))
	renumbered.Revision = 900
	unreadable := config.NewHead(6, json.RawMessage(`{"site": 5}`))
	tests := []struct {
		name  string
		offer config.Head
		taken bool
		kind  config.OfferKind // 0 for no refusal
	}{
		{"higher", headOf(t, 6, document(2)), true, 0},
		{"much higher", headOf(t, 60, document(2)), true, 0},
		{"same", held, false, 0},
		{"older", headOf(t, 4, document(2)), false, config.OfferOlder},
		{"none", config.Head{}, false, config.OfferOlder},
		{"same revision, other document", headOf(t, 5, document(2)), false, config.OfferConflict},
		{"truncated", truncated, false, config.OfferCorrupt},
		{"other revision number", renumbered, false, config.OfferCorrupt},
		{"unreadable", unreadable, false, config.OfferUndecodable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var k config.Keeper
			if _, err := k.Offer(held); err != nil {
				t.Fatal(err)
			}
			taken, err := k.Offer(tt.offer)
			var refused *config.OfferError
			if errors.As(err, &refused) != (tt.kind != 0) || (refused != nil && refused.Kind != tt.kind) {
				t.Fatalf("error %v, want kind %q", err, tt.kind)
			}
			want := held
			if tt.taken {
				want = tt.offer
			}
			if diff := cmp.Diff(want, k.Head()); taken != tt.taken || diff != "" {
				t.Fatalf("taken %v, want %v; held (-want +got):\n%s", taken, tt.taken, diff)
			}
		})
	}
}
