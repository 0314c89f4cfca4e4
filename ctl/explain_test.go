package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const explainLog = `  1.5 front-otavalo-1 ts=2026-05-28T00:32:26.2Z level=info part=gateway msg="request ended" request=r-1 outcome=unknown status=502
  1.4 front-otavalo-1 ts=2026-05-28T00:32:26.1Z level=info part=gateway msg="attempt failed" request=r-1 err="unexpected EOF"
not a log line
  1.4 front-otavalo-1 ts=2026-05-28T00:32:26.1Z level=info part=gateway msg="request ended" request=r-2 outcome=answered
  1.6 front-otavalo-1 ts=2026-05-28T00:32:27Z level=warn part=logs msg="lines left out" count=7
  1.6 front-otavalo-1 ts=yesterday level=warn msg=broken
`

// Lines of other requests are not printed; malformed and left-out lines are
// counted.
func TestExplain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.log")
	if err := os.WriteFile(file, []byte(explainLog), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if code := Run([]string{"explain", "r-1", file}, &out, &errs); code != ExitOK {
		t.Fatalf("code %d: %s", code, errs.String())
	}
	got := out.String()
	first, second := strings.Index(got, "attempt failed"), strings.Index(got, "request ended")
	if first < 0 || second < first || strings.Contains(got, "answered") {
		t.Errorf("not the request's lines in order of time:\n%s", got)
	}
	for _, want := range []string{"7 lines were left out", "2 lines could not be read", "err=unexpected EOF", "100.000 ms"} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in\n%s", want, got)
		}
	}
	out.Reset()
	if code := Run([]string{"explain", "r-9", file}, &out, &errs); code != ExitOK || !strings.Contains(out.String(), "no line about request r-9") {
		t.Errorf("code %d: %s", code, out.String())
	}
	for _, args := range [][]string{{"explain"}, {"explain", "r-1", file + "x"}} {
		if code := Run(args, &out, &errs); code != ExitUsage {
			t.Errorf("%v: code %d", args, code)
		}
	}
}
