package load

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// EntryCost is what one entry spent on a run, warm-up included.
type EntryCost struct {
	Address string `json:"address"`
	// Cores is the processor time as a share of one core.
	Cores         float64 `json:"cores"`
	MicrosPerCall float64 `json:"us_per_call"`
	ResidentMB    float64 `json:"resident_mb"`
	// Held50 and Held99 are the time that calls spent in the entry itself
	// since it started, in microseconds.
	Held50 float64 `json:"held_p50_us"`
	Held99 float64 `json:"held_p99_us"`
}

// spent is the part of an entry's metrics that costs are worked out from.
type spent struct {
	address string
	CPU     gauge `json:"process.cpu_us"`
	Memory  gauge `json:"process.resident_bytes"`
	Held    held  `json:"held.us"`
}

type gauge struct {
	Value float64 `json:"value"`
}

type held struct {
	Count  float64 `json:"count"`
	Median float64 `json:"median"`
	P99    float64 `json:"99%"`
}

// scrape reads the metrics of each address; one that fails is left out.
func scrape(addrs []string) []spent {
	var out []spent
	for _, a := range addrs {
		u := spent{address: a}
		code, body, err := fasthttp.GetTimeout(nil, "http://"+a+"/metrics", controlTimeout)
		if err != nil || code != fasthttp.StatusOK || json.Unmarshal(body, &u) != nil {
			continue
		}
		out = append(out, u)
	}
	return out
}

const megabyte = 1 << 20

// costs compares spent before and after a run of so many seconds.
func costs(before, after []spent, seconds float64) []EntryCost {
	var out []EntryCost
	for _, a := range after {
		for _, b := range before {
			if a.address == b.address {
				out = append(out, cost(b, a, seconds))
			}
		}
	}
	return out
}

func cost(b, a spent, seconds float64) EntryCost {
	cpu := a.CPU.Value - b.CPU.Value
	c := EntryCost{
		Address: a.address, Cores: cpu / (seconds * 1e6), ResidentMB: a.Memory.Value / megabyte,
		Held50: a.Held.Median, Held99: a.Held.P99,
	}
	if calls := a.Held.Count - b.Held.Count; calls > 0 {
		c.MicrosPerCall = cpu / calls
	}
	return c
}
