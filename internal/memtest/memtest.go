// Package memtest measures the memory that a test's process takes.
package memtest

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// ResidentPeak returns the peak resident memory of this process in bytes, and begins a new
// peak.
func ResidentPeak(t testing.TB) int {
	t.Helper()
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		t.Fatal(err)
	}
	kb := 0
	for line := range strings.Lines(string(text)) {
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			break
		}
	}
	if err := os.WriteFile("/proc/self/clear_refs", []byte("5"), 0); err != nil {
		t.Fatalf("peak of resident memory not reset: %v", err)
	}
	return kb << 10
}
