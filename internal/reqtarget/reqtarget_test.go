package reqtarget

import (
	"errors"
	"net/url"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, tt := range []struct{ target, path string }{
		{"/", "/"},
		{"/a/b", "/a/b"},
		{"/a//b", "/a//b"},
		{"//a", "//a"},
		{"/a/./b/../c", "/a/./b/../c"},
		{"/a/%70%2F%2f", "/a/%70%2F%2f"},
		{"/a;x=1,2", "/a;x=1,2"},
		{"/a?b=/c/../d", "/a"},
		{"/?/a/", "/"},
		{"/a%3Fb?c", "/a%3Fb"},
		{"/a?%zz #", "/a"},
		{"/\u00e9", "/\u00e9"},
		{"http://Hunts.example:80/a/", "/a/"},
		{"HTTPS://hunts.EXAMPLE:80/a?b", "/a"},
		{"", ""},
		{"*", ""},
		{"?a", ""},
		{"a/b", ""},
		{"hunts.example:80", ""},
		{"http://hunts.example:80", ""},
		{"http://hunts.example:80?a", ""},
		{"http://other.example/a", ""},
		{"http:///a", ""},
		{"ftp://hunts.example:80/a", ""},
		{"/a b", ""},
		{"/a\x00", ""},
		{"/a\x7f", ""},
		{"/a#b", ""},
		{"/a%", ""},
		{"/a%2", ""},
		{"/a%2g", ""},
		{"/a%2?b", ""},
	} {
		got, err := Parse([]byte(tt.target), []byte("hunts.example:80"))
		if string(got.Path) != tt.path || (err == nil) != (tt.path != "") {
			t.Errorf("%q: path %q, %v; want %q", tt.target, got.Path, err, tt.path)
		}
		var e *Error
		if err != nil && !errors.As(err, &e) {
			t.Errorf("%q: error %T", tt.target, err)
		}
	}
}

// A path that was accepted is a part of the target, ends before the query, and one that the
// standard library reads in the same way.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"/a/%70?x", "//a/../b", "http://h/a?b", "*", "", "/a%", "http://h"} {
		f.Add(s, "h")
	}
	f.Fuzz(func(t *testing.T, target, host string) {
		got, err := Parse([]byte(target), []byte(host))
		if err != nil {
			return
		}
		path := string(got.Path)
		before, _, _ := strings.Cut(target, "?")
		if !strings.HasSuffix(before, path) || !strings.HasPrefix(path, "/") {
			t.Fatalf("%q: path %q", target, path)
		}
		if rest := strings.TrimSuffix(before, path); rest != "" && !strings.EqualFold(rest, "http://"+host) && !strings.EqualFold(rest, "https://"+host) {
			t.Fatalf("%q: path %q leaves out %q", target, path, rest)
		}
		if u, err := url.ParseRequestURI("http://h" + path); err != nil || u.EscapedPath() != path && u.RawPath != path && u.Path != path {
			t.Fatalf("%q: path %q, the standard library reads %v, %v", target, path, u, err)
		}
	})
}
