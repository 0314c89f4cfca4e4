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

// series is one measured figure at several sizes.
type series struct {
	name string // of the benchmark, without "Size"
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
			out = add(out, name, v.Unit, point{size, v.Value})
		}
	}
	return out, r.Err()
}

// sizeOf returns the size that a benchmark's name states; 0 for none.
func sizeOf(parts [][]byte) (float64, error) {
	for _, p := range parts {
		if s, ok := strings.CutPrefix(strings.TrimPrefix(string(p), "/"), sizePrefix); ok {
			return strconv.ParseFloat(s, 64)
		}
	}
	return 0, nil
}

func add(all []series, name, unit string, p point) []series {
	for i := range all {
		if all[i].name == name && all[i].unit == unit {
			all[i].points = append(all[i].points, p)
			return all
		}
	}
	return append(all, series{name: name, unit: unit, points: []point{p}})
}

// readRates takes what entries spent at each rate of a comparison.
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
			out = add(out, "EntryProcess", "cores", point{rate, e.Cores})
			out = add(out, "EntryProcess", "resident-MB", point{rate, e.ResidentMB})
			out = add(out, "EntryProcess", "held-p99-us", point{rate, e.Held99})
		}
	}
	return out, nil
}

// fit returns the least-squares line through the points.
func fit(ps []point) (intercept, slope float64) {
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
