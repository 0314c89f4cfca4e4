package entry

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// checkFailure runs a property that is expected to fail and returns the first
// line of its failure; "" if every case passed.
func checkFailure(t *testing.T, prop func(*rapid.T)) string {
	shrink := flag.Lookup("rapid.shrinktime")
	before := shrink.Value.String()
	defer shrink.Value.Set(before)
	if err := shrink.Value.Set("0s"); err != nil {
		t.Fatal(err)
	}
	r := &failureRecorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, prop)
	}()
	<-done
	return r.why
}

// failureRecorder is a testing.TB that records a failure without failing the
// test.
type failureRecorder struct {
	testing.TB
	why string
}

func (r *failureRecorder) Errorf(format string, args ...any) {
	first, _, _ := strings.Cut(fmt.Sprintf(format, args...), "\n")
	r.why = first
}
func (r *failureRecorder) Logf(string, ...any) {}
func (r *failureRecorder) Log(...any)          {}
func (r *failureRecorder) Failed() bool        { return r.why != "" }
func (r *failureRecorder) FailNow()            { runtime.Goexit() }
