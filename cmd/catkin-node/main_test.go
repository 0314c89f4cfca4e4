package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/catkinrouter/catkinrouter/internal/daemon"
	"github.com/catkinrouter/catkinrouter/platform"
)

func TestCommandLine(t *testing.T) {
	good := filepath.Join(t.TempDir(), "settings.yaml")
	text := `
self: {nodeName: n, ip: 127.0.0.1, zone: z, region: r}
network:
  listen: {front: "127.0.0.1:1", ready: "127.0.0.1:2", directory: "127.0.0.1:3"}
  internalPorts: [4, 9]
platform: {platform: {address: "127.0.0.1:5"}}
terms: {bounds: {graceS: 6, budgetWindowS: 10, ttl_max_s: 5, probesPerS: 60}}
`
	if err := os.WriteFile(good, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, file string
		args       []string
		code       int
		want       string
	}{
		{"help", "", []string{"-h"}, daemon.ExitOK, "CATKINROUTER"},
		{"version", "", []string{"-version"}, daemon.ExitOK, name},
		{"unknown flag", "", []string{"-x"}, daemon.ExitUsage, "not defined"},
		{"argument", good, []string{"x"}, daemon.ExitUsage, "see -h"},
		{"port", good, []string{"-metrics-port", "70000"}, daemon.ExitUsage, "port"},
		{"no file named", "", nil, daemon.ExitUsage, "no settings"},
		{"no such file", good + "x", nil, daemon.ExitUsage, "no such file"},
		{"check", good, []string{"-check"}, daemon.ExitOK, "valid"},
		{"queue order", good, []string{"-check", "-queue-order", "least-cost"}, daemon.ExitOK, "valid"},
		{"unknown queue order", good, []string{"-check", "-queue-order", "least"}, daemon.ExitUsage, "not known"},
		{"log level", good, []string{"-log", "loud"}, daemon.ExitUsage, "not known"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv(platform.SettingsVariable, c.file)
			var out, errs bytes.Buffer
			code := run(context.Background(), c.args, nil, &out, &errs)
			if all := out.String() + errs.String(); code != c.code || !strings.Contains(all, c.want) {
				t.Errorf("code %d, output %q", code, all)
			}
		})
	}
}
