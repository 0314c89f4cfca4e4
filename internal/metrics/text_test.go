package metrics

import (
	"strings"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
)

func TestWriteText(t *testing.T) {
	r := gometrics.NewRegistry()
	gometrics.GetOrRegisterCounter("refusals_total.no-room", r).Inc(3)
	gometrics.GetOrRegisterGauge("configuration_version", r).Update(7)
	h := NewHistogram()
	h.Update(10)
	r.GetOrRegister("request_duration_us", h)
	var b strings.Builder
	WriteText(&b, r)
	for _, want := range []string{
		`catkin_refusals_total{kind="no-room"} 3`, "catkin_configuration_version 7",
		`catkin_request_duration_us{quantile="0.99"} 10`, "catkin_request_duration_us_count 1",
	} {
		if !strings.Contains(b.String(), want+"\n") {
			t.Errorf("no line %q in\n%s", want, b.String())
		}
	}
}
