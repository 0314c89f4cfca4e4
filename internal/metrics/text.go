package metrics

import (
	"fmt"
	"io"
	"net"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// TextPrefix is the prefix of all metric names in the text format.
const TextPrefix = "catkin_"

// ServeText serves the registry in the Prometheus text format at /metrics on ln
// until ln closes. It adds gauges for the processor time and resident memory of
// the process.
func ServeText(ln net.Listener, r gometrics.Registry) error {
	registerProcess(r)
	s := &fasthttp.Server{Name: "catkin", NoDefaultDate: true, Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != "/metrics" {
			ctx.Error("unknown path: use /metrics", fasthttp.StatusNotFound)
			return
		}
		ctx.SetContentType("text/plain; version=0.0.4")
		WriteText(ctx, r)
	}}
	return s.Serve(ln)
}

// textQuantiles are the quantiles written for each histogram.
var textQuantiles = []float64{0.5, 0.9, 0.99, 0.999}

// WriteText writes the counters, gauges and histograms of r to w in the
// Prometheus text format, sorted. The part of a metric's name after the first
// dot becomes the value of the label "kind"; histograms are written without it.
func WriteText(w io.Writer, r gometrics.Registry) {
	var lines []string
	r.Each(func(name string, m any) {
		base, kind, labelled := strings.Cut(name, ".")
		base = TextPrefix + strings.ReplaceAll(base, "-", "_")
		label := ""
		if labelled {
			label = fmt.Sprintf("{kind=%q}", kind)
		}
		switch m := m.(type) {
		case gometrics.Counter:
			lines = append(lines, fmt.Sprintf("%s%s %d", base, label, m.Count()))
		case gometrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s%s %d", base, label, m.Value()))
		case gometrics.Histogram:
			s := m.Snapshot()
			for i, v := range s.Percentiles(textQuantiles) {
				lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g", base, textQuantiles[i], v))
			}
			lines = append(lines, fmt.Sprintf("%s_sum %d", base, s.Sum()), fmt.Sprintf("%s_count %d", base, s.Count()))
		}
	})
	sort.Strings(lines)
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return // the client disconnected
		}
	}
}
