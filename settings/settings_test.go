package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/settings"
)

// sample has a key of each type.
type sample struct {
	Name    string          `json:"name"`
	Address string          `json:"address"`
	Count   int             `json:"count"`
	Share   float64         `json:"share"`
	On      *bool           `json:"on"`
	Wait    config.Duration `json:"wait"`
	Secret  []byte          `json:"secret"`
	Parts   []part          `json:"parts"`
}

type part struct {
	Size uint16 `json:"size"`
}

func (s *sample) Check() error {
	return errors.Join(settings.CheckNotEmpty("name", s.Name), settings.CheckAddress("address", s.Address))
}

const validText = `{
  "name": "a", // a comment
  "address": "127.0.0.1:80",
  "count": 3, "share": 0.5, "on": true,
  "wait": "250ms",
  "secret": "eA==",
  "parts": [{"size": 1}, {"size": 2},],
}`

func TestParse(t *testing.T) {
	var got sample
	if err := settings.Parse("f.json", []byte(validText), &got); err != nil {
		t.Fatal(err)
	}
	on := true
	want := sample{
		Name: "a", Address: "127.0.0.1:80", Count: 3, Share: 0.5, On: &on, Wait: config.Duration(250 * time.Millisecond),
		Secret: []byte("x"), Parts: []part{{1}, {2}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("(-want +got):\n%s", diff)
	}
}

func TestErrorsNameLineKeyAndRemedy(t *testing.T) {
	tests := []struct {
		name     string
		from, to string // replaced in validText
		texts    []string
	}{
		{"unknown key", `"count"`, `"counts"`, []string{`f.json:4: key "counts": unknown key: remove the key or correct its spelling`}},
		{"other case", `"count"`, `"Count"`, []string{`f.json:4: key "Count": unknown key`}},
		{"duplicate key", `"count": 3`, `"count": 3, "count": 4`, []string{`f.json:4: key "count": duplicate key: keep one`}},
		{"text for a number", `3`, `"3"`, []string{`f.json:4: key "count": unexpected string: write a whole number`}},
		{"fraction", `3`, `3.5`, []string{`f.json:4: key "count"`, "write a whole number"}},
		{"number for text", `"a"`, `7`, []string{`f.json:2: key "name": unexpected number: write text in quotes`}},
		{"text for a boolean", `true`, `"yes"`, []string{`f.json:4: key "on"`, "write true or false"}},
		{"duration without unit", `"250ms"`, `"250"`, []string{`f.json:5: key "wait"`, `write it like "250ms"`}},
		{"duration as a number", `"250ms"`, `250`, []string{`f.json:5: key "wait"`, `write it like "250ms"`}},
		{"invalid base64", `"eA=="`, `"?"`, []string{`f.json:6: key "secret"`, "bytes in base64"}},
		{"out of range", `{"size": 2}`, `{"size": 70000}`, []string{`f.json:7: key "parts[1].size"`, "a whole number from 0"}},
		{"object for a list", `[{"size": 1}, {"size": 2},]`, `{"size": 1}`, []string{`f.json:7: key "parts": not an array`}},
		{"text for an object", `{"size": 2}`, `"2"`, []string{`f.json:7: key "parts[1]": not an object`}},
		{"not JSON", `"count":`, `"count"`, []string{"f.json: ", "comments and trailing commas are allowed"}},
		{"two values", "],\n}", "]}\n{}", []string{"f.json: ", "write JSON"}},
		{"missing key", `"name": "a",`, ``, []string{`f.json:1: key "name": missing: set it`}},
		{"bad address", `127.0.0.1:80`, `localhost:80`, []string{`f.json:3: key "address": "localhost:80" is not an IP address and port: write it like`}},
		{"all at once", `"count": 3, "share": 0.5`, `"counts": 3, "share": "x"`, []string{`key "counts"`, `key "share"`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(validText, tt.from, tt.to, 1)
			err := settings.Parse("f.json", []byte(text), &sample{})
			if err == nil {
				t.Fatal("no error")
			}
			for _, want := range tt.texts {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("does not say %q: %v", want, err)
				}
			}
		})
	}
}

func TestLoadNamesTheFile(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.json")
	err := settings.Load(missing, &sample{})
	if !errors.Is(err, os.ErrNotExist) || !strings.Contains(err.Error(), "name a readable file with -settings") {
		t.Fatal(err)
	}
}

func TestListenNamesTheRemedy(t *testing.T) {
	ln, err := settings.Listen("address", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	tests := []struct{ address, text string }{
		{ln.Addr().String(), `key "address": ` + ln.Addr().String() + " is in use: end the process"},
		{"192.0.2.1:80", "192.0.2.1:80 is not an address of this machine"},
		{"127.0.0.1:99999", "set an address and port that is free"},
	}
	for _, tt := range tests {
		if _, err := settings.Listen("address", tt.address); err == nil || !strings.Contains(err.Error(), tt.text) {
			t.Errorf("%s: %v", tt.address, err)
		}
	}
}

func TestCheckLogLevel(t *testing.T) {
	for value, ok := range map[string]bool{"": true, "warn": true, "loud": false} {
		if err := settings.CheckLogLevel("log_level", value); (err == nil) != ok {
			t.Errorf("%q: %v", value, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validText))
	f.Add([]byte(`{"parts": [null, {}], "on": null, "wait": null}`))
	f.Add([]byte(`[1`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var s sample
		err := settings.Decode("f.json", b, &s)
		if err == nil {
			return
		}
		for _, e := range settings.Errors(err) {
			var fe *settings.FileError
			if !errors.As(e, &fe) {
				t.Fatalf("error is not a *FileError: %v", e)
			}
		}
	})
}
