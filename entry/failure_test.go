package entry

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// failure runs a property that ought to fail, and returns how it did; "" where
// every case passed.
func failure(t *testing.T, prop func(*rapid.T)) string {
	shrink := flag.Lookup("rapid.shrinktime")
	before := shrink.Value.String()
	defer shrink.Value.Set(before)
	if err := shrink.Value.Set("0s"); err != nil {
		t.Fatal(err)
	}
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, prop)
	}()
	<-done
	return r.why
}

// recorder takes a test's failure without failing.
type recorder struct {
	testing.TB
	why string
}

func (r *recorder) Errorf(format string, args ...any) {
	first, _, _ := strings.Cut(fmt.Sprintf(format, args...), "\n")
	r.why = first
}
func (r *recorder) Logf(string, ...any) {}
func (r *recorder) Log(...any)          {}
func (r *recorder) Failed() bool        { return r.why != "" }
func (r *recorder) FailNow()            { runtime.Goexit() }
