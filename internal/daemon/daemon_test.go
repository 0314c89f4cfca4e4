package daemon_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/catkinrouter/catkinrouter/internal/daemon"
	"github.com/catkinrouter/catkinrouter/settings"
)

type testSettings struct {
	Name string `json:"name"`
}

func (s *testSettings) Check() error { return settings.CheckNotEmpty("name", s.Name) }

// Each command line gives the expected exit code and output.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	valid, invalid := writeFile("valid.json", `{"name": "a"}`), writeFile("invalid.json", "{\n\"nam\": 1}")
	tests := []struct {
		name       string
		args       []string
		wantCode   int
		wantOK     bool
		wantOutput string
	}{
		{"help", []string{"-h"}, daemon.ExitOK, false, "usage: catkin-x -settings FILE"},
		{"version", []string{"-version"}, daemon.ExitOK, false, "catkin-x "},
		{"unknown flag", []string{"-setings", "x"}, daemon.ExitUsage, false, "-setings"},
		{"no settings", nil, daemon.ExitUsage, false, "name a file with -settings"},
		{"argument", []string{"-settings", valid, "x"}, daemon.ExitUsage, false, `unexpected argument "x"`},
		{"missing file", []string{"-settings", dir + "/none"}, daemon.ExitUsage, false, "name a readable file"},
		{"invalid", []string{"-settings", invalid}, daemon.ExitUsage, false, `invalid.json:2: key "nam": unknown key`},
		{"check of invalid", []string{"-check", "-settings", invalid}, daemon.ExitUsage, false, "invalid.json:2"},
		{"check of valid", []string{"-check", "-settings", valid}, daemon.ExitOK, false, "is valid"},
		{"valid", []string{"-settings", valid, "-extra"}, daemon.ExitOK, true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stderr bytes.Buffer
			f, code, ok := daemon.Parse("catkin-x", "is a test", tt.args, &stderr, func(fs *flag.FlagSet) { fs.Bool("extra", false, "a further flag") })
			if ok {
				code, ok = f.Load("catkin-x", &testSettings{}, &stderr)
			}
			if code != tt.wantCode || ok != tt.wantOK || !strings.Contains(stderr.String(), tt.wantOutput) {
				t.Errorf("code %d, ok %v, output %q", code, ok, stderr.String())
			}
		})
	}
}
