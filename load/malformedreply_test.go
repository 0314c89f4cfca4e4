package load

import (
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
)

// A response with a status line that HTTP does not allow, such as status 000, counted as an
// answer.
func TestMalformedStatusLineIsNoAnswer(t *testing.T) { testMalformed(t, replytest.StatusLines) }

// A response with a blank in the name of a header counted as an answer.
func TestMalformedFieldNameIsNoAnswer(t *testing.T) { testMalformed(t, replytest.FieldNames) }

// A response with a folded line counted as an answer.
func TestMalformedLineIsNoAnswer(t *testing.T) { testMalformed(t, replytest.Lines) }

// A response by HTTP/1.0 with chunks, or with another body whose end can't be told, must not
// count as an answer.
func TestMalformedBodyIsNoAnswer(t *testing.T) {
	testMalformed(t, append(replytest.OldFramings, replytest.Bodies...))
}

// testMalformed checks that no malformed response counts as an answer.
func testMalformed(t *testing.T, cases []replytest.Case) {
	r := NewRunner(&Scenario{Callers: 1})
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			address := replytest.Answer(t, c, headers.Outcome+": answered")
			var out callResult
			r.callers(Variant{}, nil)[0].try(&CallMix{Service: "tienda", Path: "/", Method: "GET"}, "call-1", 100*time.Millisecond, address, &out)
			if out.outcome != "" || out.reason != "connection" {
				t.Errorf("outcome %q, reason %q; want no response", out.outcome, out.reason)
			}
		})
	}
}
