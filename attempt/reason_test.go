package attempt

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestReasonsAreDocumented checks that docs/OPERATORS.md lists each Reason with
// its outcomes and remedy, and each Retry with its meaning.
func TestReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[Reason]bool{}
	for _, r := range Reasons() {
		if r.Remedy == "" || len(r.Outcomes) == 0 || seen[r.Reason] {
			t.Errorf("%q has no remedy or outcome, or is listed twice", r.Reason)
		}
		seen[r.Reason] = true
		var outcomes []string
		for _, o := range r.Outcomes {
			outcomes = append(outcomes, o.String())
		}
		row := fmt.Sprintf("| `%s` | %s | %s |\n", r.Reason, strings.Join(outcomes, ", "), r.Remedy)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/OPERATORS.md has no row:\n%s", row)
		}
	}
	for _, r := range Retries() {
		row := fmt.Sprintf("| `%s` | %s |\n", r.Retry, r.Meaning)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/OPERATORS.md has no row:\n%s", row)
		}
	}
}
