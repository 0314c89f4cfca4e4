package httpreply_test

import (
	"bufio"
	"errors"
	"io"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"
	"unicode/utf8"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/httpreply"
	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
)

// The grammar of heads (RFC 9112), written apart from the code.
var (
	headGrammar = regexp.MustCompile("^HTTP/1\\.[01] [1-5][0-9][0-9](?: [\\t -~\u0080-\u00ff]*)?\r\n(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t -~\u0080-\u00ff]*\r\n)*\r\n")
	oldChunks   = regexp.MustCompile("(?i)^HTTP/1\\.0(?s:.*)\r\nTransfer-Encoding:")
)

// startOfHeads begins each head.
const startOfHeads = "HTTP/1."

// allowedHead returns the length of the allowed head with which raw begins, 0 if there is none.
func allowedHead(raw string) int {
	head := headGrammar.FindString(latin1(raw))
	if oldChunks.MatchString(head) {
		return 0
	}
	return utf8.RuneCountInString(head)
}

// latin1 returns raw with a rune for each byte, for regular expressions.
func latin1(raw string) string {
	runes := make([]rune, len(raw))
	for i := range len(raw) {
		runes[i] = rune(raw[i])
	}
	return string(runes)
}

// A head must be taken if and only if the grammar allows it, in whatever pieces it arrives.
func FuzzHead(f *testing.F) {
	for _, c := range replytest.Heads() {
		f.Add(c.Raw("X-Note: a"))
	}
	for raw := range allowed {
		f.Add(raw + "body")
	}
	f.Fuzz(func(t *testing.T, raw string) {
		if len(raw) > testBuffer/2 {
			return
		}
		want := allowedHead(raw)
		for name, src := range map[string]io.Reader{"at once": strings.NewReader(raw), "byte by byte": iotest.OneByteReader(strings.NewReader(raw))} {
			r := bufio.NewReaderSize(src, testBuffer)
			var h fasthttp.ResponseHeader
			err := httpreply.ReadHead(r, &h)
			var malformed *httpreply.MalformedError
			rest, _ := io.ReadAll(r) // never fails: the source is a string
			switch {
			case want == 0 && err == nil:
				t.Errorf("%s: %q was taken", name, raw)
			case want > 0 && errors.As(err, &malformed):
				t.Errorf("%s: %q was refused: %v", name, raw, err)
			case err == nil && len(rest) != len(raw)-want:
				t.Errorf("%s: %q: %d bytes follow the head, want %d", name, raw, len(rest), len(raw)-want)
			case errors.Is(err, io.EOF) && len(raw) >= len(startOfHeads) && !strings.HasPrefix(raw, startOfHeads):
				t.Errorf("%s: %q: waits for more of what can be no reply", name, raw)
			}
		}
	})
}
