package ctl_test

import (
	"testing"

	"github.com/catkinrouter/catkinrouter/ctl"
	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
)

// An answer with a status line that HTTP does not allow, such as status 000, counted as the
// agent's confirmation.
func TestMalformedStatusLineConfirmsNothing(t *testing.T) { testMalformed(t, replytest.StatusLines) }

// An answer with a blank in the name of a header counted as the agent's confirmation.
func TestMalformedFieldNameConfirmsNothing(t *testing.T) { testMalformed(t, replytest.FieldNames) }

// An answer with a folded line counted as the agent's confirmation.
func TestMalformedLineConfirmsNothing(t *testing.T) { testMalformed(t, replytest.Lines) }

// An answer by HTTP/1.0 with chunks, or another body whose end can't be told, must not count as
// an agent's.
func TestMalformedBodyConfirmsNothing(t *testing.T) {
	testMalformed(t, append(replytest.OldFramings, replytest.Bodies...))
}

// testMalformed checks that no malformed answer counts as an agent's.
func testMalformed(t *testing.T, cases []replytest.Case) {
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			a := &agent{t: t, addr: replytest.Answer(t, c)}
			if code, out, errs := a.run("confirm", "p1"); code != ctl.ExitIndefinite {
				t.Errorf("exit code %d, output %q, errors %q; want %d", code, out, errs, ctl.ExitIndefinite)
			}
		})
	}
}
