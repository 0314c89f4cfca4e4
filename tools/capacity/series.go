package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"

	"github.com/catkinrouter/catkinrouter/load"
)

// series holds the values of one unit of a benchmark at several sizes.
type series struct {
	name string // of the benchmark, without the prefix "Size"
	unit string
	// points are in the order of measurement.
	points []point
}

type point struct {
	size  float64
	value float64
}

const sizePrefix = "size="

// readBenchmarks collects every BenchmarkSize result of in by name and unit.
func readBenchmarks(in io.Reader) ([]series, error) {
	var out []series
	r := benchfmt.NewReader(in, "bench")
	for r.Scan() {
		res, ok := r.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		base, parts := res.Name.Parts()
		name, found := strings.CutPrefix(string(base), "Size")
		if !found {
			continue
		}
		size, err := sizeOf(parts)
		if err != nil {
			return nil, fmt.Errorf("benchmark %s: %w", res.Name, err)
		}
		for _, v := range res.Values {
			out = addPoint(out, name, v.Unit, point{size, v.Value})
		}
	}
	return out, r.Err()
}

// sizeOf returns the size in a benchmark's name, or 0 if there is none.
func sizeOf(parts [][]byte) (float64, error) {
	for _, p := range parts {
		if s, ok := strings.CutPrefix(strings.TrimPrefix(string(p), "/"), sizePrefix); ok {
			return strconv.ParseFloat(s, 64)
		}
	}
	return 0, nil
}

// addPoint appends p to the series with that name and unit, which it creates if
// needed.
func addPoint(all []series, name, unit string, p point) []series {
	for i := range all {
		if all[i].name == name && all[i].unit == unit {
			all[i].points = append(all[i].points, p)
			return all
		}
	}
	return append(all, series{name: name, unit: unit, points: []point{p}})
}

// readRates reads the costs of entries at each rate from a comparison in JSON. The
// rate is computed from the processor time in all and per call.
func readRates(path string) ([]series, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var c load.Comparison
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var out []series
	for _, turn := range c.Turns {
		for _, e := range turn.Entries {
			rate := e.Cores * 1e6 / e.MicrosPerCall
			out = addPoint(out, "EntryProcess", "cores", point{rate, e.Cores})
			out = addPoint(out, "EntryProcess", "resident-MB", point{rate, e.ResidentMB})
			out = addPoint(out, "EntryProcess", "held-p99-us", point{rate, e.EntryTime99})
		}
	}
	return out, nil
}

// fitLine returns the least-squares line through the points; if all have one size,
// the mean with slope 0.
func fitLine(ps []point) (intercept, slope float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range ps {
		n++
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	det := n*sxx - sx*sx
	if det == 0 {
		return sy / max(n, 1), 0
	}
	slope = (n*sxy - sx*sy) / det
	return (sy - slope*sx) / n, slope
}
