// Package metrics serves a daemon's go-metrics registry over HTTP, as JSON or
// in the Prometheus text format.
package metrics

import (
	"net"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// ServeJSON serves the registry as JSON at /metrics on ln until ln closes. It
// adds gauges for the processor time and resident memory of the process.
func ServeJSON(ln net.Listener, r gometrics.Registry) error {
	registerProcess(r)
	s := &fasthttp.Server{Handler: handler(r), Name: "catkin", NoDefaultDate: true}
	return s.Serve(ln)
}

func handler(r gometrics.Registry) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != "/metrics" {
			ctx.Error("unknown path: use /metrics", fasthttp.StatusNotFound)
			return
		}
		ctx.SetContentType("application/json")
		gometrics.WriteJSONOnce(r, ctx)
	}
}
