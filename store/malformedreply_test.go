package store_test

import (
	"testing"

	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
	"github.com/catkinrouter/catkinrouter/store"
)

// An answer with a status line that HTTP does not allow, such as status 000, counted as the
// list of instances.
func TestMalformedStatusLineIsNoList(t *testing.T) { testMalformed(t, replytest.StatusLines) }

// An answer with a blank in the name of a header counted as the list of instances.
func TestMalformedFieldNameIsNoList(t *testing.T) { testMalformed(t, replytest.FieldNames) }

// An answer with a folded line counted as the list of instances.
func TestMalformedLineIsNoList(t *testing.T) { testMalformed(t, replytest.Lines) }

// An answer by HTTP/1.0 with chunks, or another body whose end can't be told, must not count as
// a list.
func TestMalformedBodyIsNoList(t *testing.T) {
	testMalformed(t, append(replytest.OldFramings, replytest.Bodies...))
}

// testMalformed checks that no malformed answer counts as a list.
func testMalformed(t *testing.T, cases []replytest.Case) {
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			client := store.NewListClient(replytest.Answer(t, c))
			defer client.Close()
			if list, _, err := client.Instances(t.Context()); !store.IsKind(err, store.Unavailable) {
				t.Errorf("list %v, error %v; want unavailable", list, err)
			}
		})
	}
}
