package metrics

import (
	"bytes"
	"encoding/json"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
)

// The registry's JSON contains a Histogram's count and percentiles.
func TestHistogramInRegistry(t *testing.T) {
	r := gometrics.NewRegistry()
	h := NewHistogram()
	if err := r.Register("held.us", h); err != nil {
		t.Fatal(err)
	}
	for v := range int64(1000) {
		h.Update(v + 1)
	}
	h.Update(2 * maxValue)
	var b bytes.Buffer
	gometrics.WriteJSONOnce(r, &b)
	var out map[string]map[string]float64
	if err := json.Unmarshal(b.Bytes(), &out); err != nil {
		t.Fatal(err)
	}
	got := out["held.us"]
	if got["count"] != 1001 || got["median"] < 499 || got["median"] > 502 || got["99%"] < 988 || got["99%"] > 993 {
		t.Fatalf("got %v", got)
	}
}
