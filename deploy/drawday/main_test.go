package main

import (
	"strings"
	"testing"
)

// A drawn day must be playable again from its seed alone.
func TestSeedDrawsTheSameDay(t *testing.T) {
	var days [2]strings.Builder
	for i := range days {
		if err := run(&days[i], 7, "poison,srv_flap", 5, 3); err != nil {
			t.Fatal(err)
		}
	}
	if days[0].String() != days[1].String() {
		t.Errorf("two days of one seed differ:\n%s\n%s", &days[0], &days[1])
	}
	if day := days[0].String(); !strings.Contains(day, `"poison"`) || !strings.Contains(day, `"srv_flap"`) || strings.Count(day, "at = ") != 10 {
		t.Errorf("not 10 entries with the kinds asked for:\n%s", day)
	}
}

func TestUnknownKindIsRefused(t *testing.T) {
	if err := run(&strings.Builder{}, 1, "nonsense", 0, 0); err == nil {
		t.Error("accepted")
	}
}
