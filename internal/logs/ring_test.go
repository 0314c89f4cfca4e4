package logs

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// A reader that stops reading costs the writer no time.
func TestRingNeverBlocks(t *testing.T) {
	r, w := io.Pipe() // nobody reads
	defer r.Close()
	ring := NewRing(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 4 * ringLines {
			fmt.Fprintf(ring, "level=warn msg=\"line %d\"\n", i)
		}
	}()
	<-done
	if n := ring.left.Load(); n == 0 {
		t.Error("no line was left out")
	}
	w.CloseWithError(io.ErrClosedPipe)
	ring.Close()
}

// lines is a writer that keeps what it gets.
type lines struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Ordinary lines beyond their allowance leave that of failures alone, and what
// was left out is counted.
func TestRingAllowances(t *testing.T) {
	var out lines
	ring := NewRing(&out)
	for range 3 * linesPerSecond {
		fmt.Fprintln(ring, "level=info msg=plain")
	}
	fmt.Fprintln(ring, "level=warn msg=failure")
	ring.Close()
	got := out.String()
	if !strings.Contains(got, "msg=failure") {
		t.Error("the failure was left out")
	}
	if !strings.Contains(got, "lines left out") {
		t.Error("nothing says that lines were left out")
	}
	if n := strings.Count(got, "msg=plain"); n > 2*linesPerSecond {
		t.Errorf("%d ordinary lines within about a second", n)
	}
}

func TestRingCloseIsBounded(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	ring := NewRing(w)
	fmt.Fprintln(ring, "level=info msg=stuck")
	began := time.Now()
	ring.Close()
	if d := time.Since(began); d > 100*flushTimeout {
		t.Errorf("took %v", d)
	}
	w.CloseWithError(io.ErrClosedPipe)
}
