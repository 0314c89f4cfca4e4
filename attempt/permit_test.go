package attempt

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/config"
)

var testKeys = []config.PermitKey{{ID: "b", Secret: []byte("two")}, {ID: "a", Secret: []byte("one")}}

func TestPermitRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		field := rapid.StringN(0, -1, maxFieldBytes)
		p := Permit{
			KeyID: "b", Home: field.Draw(t, "home"), Address: field.Draw(t, "address"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"), Nonce: rapid.Uint64().Draw(t, "nonce"),
			Expires: time.Duration(rapid.Int64().Draw(t, "expires")),
		}
		token := NewSigner(testKeys).Sign(p)
		got, err := NewSigner(testKeys).ParseKey(token + "/name")
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(p, got); d != "" {
			t.Fatal(d)
		}
		// The encoding is unique: a token with one changed character must be
		// rejected.
		i := rapid.IntRange(0, len(token)-1).Draw(t, "i")
		c := rapid.SampledFrom([]string{"A", "B", "_", "=", "\n"}).Draw(t, "c")
		if other := token[:i] + c + token[i+1:]; other != token {
			if _, err := NewSigner(testKeys).Parse(other); err == nil {
				t.Fatalf("%q was accepted; it differs in one character from the token %q", other, token)
			}
		}
	})
}

func TestParseKeyErrors(t *testing.T) {
	token := NewSigner(testKeys).Sign(Permit{Home: "e1", Expires: time.Second})
	earlier := NewSigner(testKeys[1:]).Sign(Permit{Home: "e1"})
	tests := []struct {
		name, key string
		keys      []config.PermitKey
		want      *PermitError
	}{
		{"good", token + "/n", testKeys, nil},
		{"earlier signing key", earlier + "/n", testKeys, nil},
		{"key not in force", token + "/n", testKeys[1:], errUnknownSigner},
		{"other secret", token + "/n", []config.PermitKey{{ID: "b", Secret: []byte("x")}}, errSignature},
		{"no name", token + "/", testKeys, errMalformed},
		{"no slash", token, testKeys, errMalformed},
		{"name too long", token + "/" + strings.Repeat("n", MaxNameBytes+1), testKeys, errMalformed},
		{"name with a space", token + "/a b", testKeys, errMalformed},
		{"not base64", "?" + token + "/n", testKeys, errMalformed},
		{"later version", "Ag/n", testKeys, errVersion},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewSigner(tt.keys).ParseKey(tt.key)
			var got *PermitError
			errors.As(err, &got)
			if got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func FuzzParsePermit(f *testing.F) {
	s := NewSigner(testKeys)
	f.Add(s.Sign(Permit{Home: "e1", Address: "127.0.0.1:1"}))
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, token string) {
		p, err := s.Parse(token)
		if err != nil {
			return
		}
		if again := s.Sign(p); p.KeyID == testKeys[0].ID && again != token {
			t.Errorf("two tokens of one permit: %q and %q", token, again)
		}
	})
}
