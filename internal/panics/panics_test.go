package panics

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/go-kit/log"
	gometrics "github.com/rcrowley/go-metrics"
)

func TestRunRecoversAndReports(t *testing.T) {
	var out bytes.Buffer
	g := Guard{Log: log.NewLogfmtLogger(&out), Count: gometrics.NewCounter()}
	var p *Error
	if err := g.Run("request", func() { panic("broken") }); !errors.As(err, &p) || p.Value != "broken" {
		t.Errorf("error %v", err)
	}
	if err := g.Run("request", func() {}); err != nil {
		t.Errorf("error %v without a panic", err)
	}
	if g.Count.Count() != 1 || !strings.Contains(out.String(), "panics_test.go") {
		t.Errorf("count %d, log %q", g.Count.Count(), out.String())
	}
}
