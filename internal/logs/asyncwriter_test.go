package logs

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// A stalled reader of the log must not block the goroutines that log.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	r, w := io.Pipe() // never read, so that every write to it blocks
	defer r.Close()
	aw := NewAsyncWriter(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 4 * queueLines {
			fmt.Fprintf(aw, "level=warn msg=\"line %d\"\n", i)
		}
	}()
	<-done
	if n := aw.dropped.Load(); n == 0 {
		t.Error("no line was dropped")
	}
	w.CloseWithError(io.ErrClosedPipe)
	aw.Close()
}

// A line that is logged while the process stops, such as one of a signal that
// arrives then, must not end it with a panic.
func TestAsyncWriterAfterClose(t *testing.T) {
	aw := NewAsyncWriter(io.Discard)
	aw.Close()
	if n, err := fmt.Fprintln(aw, "level=info msg=late"); err != nil || n == 0 {
		t.Errorf("write after Close: %d, %v", n, err)
	}
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Info lines beyond their rate limit do not use up the limit of warnings, and
// the number of dropped lines is reported.
func TestAsyncWriterRateLimits(t *testing.T) {
	var out syncBuffer
	aw := NewAsyncWriter(&out)
	for range 3 * infoLinesPerSecond {
		fmt.Fprintln(aw, "level=info msg=plain")
	}
	fmt.Fprintln(aw, "level=warn msg=failure")
	aw.Close()
	got := out.String()
	if !strings.Contains(got, "msg=failure") {
		t.Error("the warning was dropped")
	}
	if !strings.Contains(got, "lines left out") {
		t.Error("dropped lines were not reported")
	}
	if n := strings.Count(got, "msg=plain"); n > 2*infoLinesPerSecond {
		t.Errorf("%d info lines written within about one second", n)
	}
}

// Close returns although the underlying writer blocks.
func TestAsyncWriterCloseIsBounded(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	aw := NewAsyncWriter(w)
	fmt.Fprintln(aw, "level=info msg=stuck")
	began := time.Now()
	aw.Close()
	if d := time.Since(began); d > 100*flushTimeout {
		t.Errorf("Close took %v", d)
	}
	w.CloseWithError(io.ErrClosedPipe)
}
