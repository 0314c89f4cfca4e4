package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/catkinrouter/catkinrouter/platform"
)

const (
	cleanDocument = `{"version":8,"routes":{"columns":["name","host","prefix","routeKind","timeoutMs","targetLatencyMs","service"],"rows":[["r1","h1","/a/","safe",500,200,"s1"]]},
"services":{"columns":["name","healthPath","maxConns"],"rows":[["s1","/health",260]]},"tenants":{"columns":["name","apiKeys","ratePerS"],"rows":[["c1",["key-of-c1"],50]]}}`
	// secretKeys appear in no output.
	secretKeys = "key-of-"
)

// writeFile writes a file of the test and returns its name.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// runCheck runs check, and fails the test unless it ends with the exit code and prints no key.
func runCheck(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	if code := Run(append([]string{"check"}, args...), &out, &errs); code != want {
		t.Errorf("%v: exit code %d, want %d: %s%s", args, code, want, &out, &errs)
	}
	all := out.String() + errs.String()
	if strings.Contains(all, secretKeys) {
		t.Errorf("%v: a key was printed: %s", args, all)
	}
	return all
}

func wantText(t *testing.T, got string, want ...string) {
	t.Helper()
	for _, w := range want {
		if !strings.Contains(got, w) {
			t.Errorf("lacks %q:\n%s", w, got)
		}
	}
}

// A script could not tell from the exit code whether a document may be submitted.
func TestCheckExitCodes(t *testing.T) {
	clean := writeFile(t, cleanDocument)
	wantText(t, runCheck(t, CheckClean, clean), "version 8: 0 errors, 0 warnings")
	out := runCheck(t, CheckWarnings, "-instances", "471", clean)
	wantText(t, out, "warning: services, s1, maxConns", "471", "remedy: ")
	out = runCheck(t, CheckErrors, writeFile(t, strings.Replace(cleanDocument, "500,200", `500,"soon"`, 1)))
	wantText(t, out, "error: routes, row 0, r1, targetLatencyMs: not a number (taken as 0)")
	out = runCheck(t, CheckNotCompared, "-instances", "471", "-against", filepath.Join(t.TempDir(), "missing"), clean)
	wantText(t, out, "can't be read", "warning: services, s1")
	runCheck(t, ExitUsage)
	runCheck(t, ExitUsage, "-format", "xml", clean)
	runCheck(t, ExitUsage, "-against", clean, "-store", "127.0.0.1:1", clean)
}

// A file that is cut or too large must have a clear error, and the latter not be read whole.
func TestCheckOfUnreadableFiles(t *testing.T) {
	out := runCheck(t, CheckErrors, "-against", writeFile(t, cleanDocument), writeFile(t, cleanDocument[:100]))
	wantText(t, out, "unreadable: 1 errors", "no JSON at line 1, column 100")
	large := writeFile(t, "")
	if err := os.Truncate(large, 20<<20); err != nil {
		t.Fatal(err)
	}
	wantText(t, runCheck(t, CheckErrors, large), "larger than 16 MiB")
	rows := writeFile(t, `{"version":1,"routes":{"columns":[],"rows":[1`+strings.Repeat(",1", 1<<20)+`]}}`)
	wantText(t, runCheck(t, CheckErrors, rows), "more than 250000 values")
	wantText(t, runCheck(t, CheckErrors, "-upstreams", large, large), "larger than 16 MiB")
	wantText(t, runCheck(t, CheckNotCompared, "-against", large, writeFile(t, cleanDocument)), "larger than 16 MiB")
}

// The differences from the version in force in the store were not shown, or showed a key.
func TestCheckAgainstStore(t *testing.T) {
	kv, address := startKV(t)
	changed := writeFile(t, strings.NewReplacer(`"version":8`, `"version":9`, "500,200", "600,200", `"key-of-c1"`, `"key-of-c1","key-of-c2"`).Replace(cleanDocument))
	wantText(t, runCheck(t, CheckNotCompared, "-store", address, changed), "can't be read")
	kv.Put(platform.Keys().Configuration, []byte(cleanDocument))
	kv.Put(platform.Keys().UpstreamPrefix+"u1", []byte(`{"service":"s1","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready","sequence":1}`))
	out := runCheck(t, CheckClean, "-store", address, changed)
	wantText(t, out, "differences from "+address, "timeoutMs  500ms -> 600ms", "72e19502")
	wantText(t, runCheck(t, CheckClean, "-store", address, writeFile(t, cleanDocument)), "no differences")
	// 6 slots serve 90 requests a second.
	out = runCheck(t, CheckWarnings, "-store", address, writeFile(t, strings.Replace(cleanDocument, ",50]", ",91]", 1)))
	wantText(t, out, "above the 90")

	var r checkReport
	if err := json.Unmarshal([]byte(runCheck(t, CheckClean, "-store", address, "-format", "json", changed)), &r); err != nil || len(r.Differences) != 3 || r.Version != 9 {
		t.Errorf("%v, %+v", err, r)
	}
}

// Upstreams' entries that can't be read were left out without a word.
func TestCheckUpstreamsFile(t *testing.T) {
	entries := writeFile(t, `{"u1":{"service":"s1","address":"10.0.0.1:80","zone":"z","slots":1,"state":"ready","sequence":1},"u2":{"service":"s1"}}`)
	out := runCheck(t, CheckWarnings, "-upstreams", entries, writeFile(t, cleanDocument))
	wantText(t, out, "2 warnings", "u2", "above the 15")
	wantText(t, runCheck(t, ExitUsage, "-upstreams", writeFile(t, "[]"), writeFile(t, cleanDocument)), "by ID")
}
