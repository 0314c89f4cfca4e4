package load

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// EntryCost is the processor time and memory that one entry used in a run,
// including the warm-up, and the time that calls spent in it.
type EntryCost struct {
	Address string `json:"address"`
	// Cores is the processor time divided by the run's duration: 1 is one core
	// in full use.
	Cores         float64 `json:"cores"`
	MicrosPerCall float64 `json:"us_per_call"`
	ResidentMB    float64 `json:"resident_mb"`
	// EntryTime50 and EntryTime99 are percentiles of the time that calls spent
	// in the entry itself, in microseconds, since the entry started, as its
	// metric held.us reports it.
	EntryTime50 float64 `json:"held_p50_us"`
	EntryTime99 float64 `json:"held_p99_us"`
}

// entryMetrics holds the metrics of an entry from which its cost is computed.
type entryMetrics struct {
	address   string
	CPU       gauge     `json:"process.cpu_us"`
	Memory    gauge     `json:"process.resident_bytes"`
	EntryTime histogram `json:"held.us"`
}

type gauge struct {
	Value float64 `json:"value"`
}

type histogram struct {
	Count  float64 `json:"count"`
	Median float64 `json:"median"`
	P99    float64 `json:"99%"`
}

// scrapeMetrics reads the metrics at each address. Addresses that fail are left
// out.
func scrapeMetrics(addrs []string) []entryMetrics {
	var out []entryMetrics
	for _, a := range addrs {
		u := entryMetrics{address: a}
		code, body, err := control.GetTimeout(nil, "http://"+a+"/metrics", controlTimeout)
		if err != nil || code != fasthttp.StatusOK || json.Unmarshal(body, &u) != nil {
			continue
		}
		out = append(out, u)
	}
	return out
}

const megabyte = 1 << 20

// entryCosts returns the cost of each entry with metrics before and after a run,
// which took that many seconds.
func entryCosts(before, after []entryMetrics, seconds float64) []EntryCost {
	var out []EntryCost
	for _, a := range after {
		for _, b := range before {
			if a.address == b.address {
				out = append(out, newEntryCost(b, a, seconds))
			}
		}
	}
	return out
}

func newEntryCost(b, a entryMetrics, seconds float64) EntryCost {
	cpu := a.CPU.Value - b.CPU.Value
	c := EntryCost{
		Address: a.address, Cores: cpu / (seconds * 1e6), ResidentMB: a.Memory.Value / megabyte,
		EntryTime50: a.EntryTime.Median, EntryTime99: a.EntryTime.P99,
	}
	if calls := a.EntryTime.Count - b.EntryTime.Count; calls > 0 {
		c.MicrosPerCall = cpu / calls
	}
	return c
}
