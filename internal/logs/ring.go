package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a Ring.
const (
	// ringLines is the number of lines that wait to be written.
	ringLines = 2048
	// linesPerSecond is the allowance of ordinary lines, failuresPerSecond
	// that of lines of level warn or error.
	linesPerSecond    = 400
	failuresPerSecond = 200
	// flushTimeout bounds the wait for the last lines.
	flushTimeout = 200 * time.Millisecond
)

// Ring is a writer of log lines that never waits for its reader: lines beyond
// an allowance a second, and those that find the ring full, are left out and
// counted in a line of their own.
type Ring struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	second  int64
	plain   int
	failing int

	left atomic.Int64
}

// NewRing returns a Ring before w.
func NewRing(w io.Writer) *Ring {
	r := &Ring{lines: make(chan []byte, ringLines), done: make(chan struct{})}
	go r.run(w)
	return r
}

// Write takes a line. It never blocks and never fails.
func (r *Ring) Write(line []byte) (int, error) {
	if !r.allowed(line) {
		r.left.Add(1)
		return len(line), nil
	}
	select {
	case r.lines <- bytes.Clone(line):
	default:
		r.left.Add(1)
	}
	return len(line), nil
}

// allowed counts the line against its allowance.
func (r *Ring) allowed(line []byte) bool {
	failure := bytes.Contains(line, []byte("level=warn")) || bytes.Contains(line, []byte("level=error"))
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now().Unix(); now != r.second {
		r.second, r.plain, r.failing = now, 0, 0
	}
	if failure {
		r.failing++
		return r.failing <= failuresPerSecond
	}
	r.plain++
	return r.plain <= linesPerSecond
}

func (r *Ring) run(w io.Writer) {
	defer close(r.done)
	for line := range r.lines {
		if n := r.left.Swap(0); n > 0 {
			line = append(line, fmt.Sprintf("level=warn part=logs msg=\"lines left out\" count=%d\n", n)...)
		}
		if _, err := w.Write(line); err != nil {
			r.left.Add(1) // nobody reads; the count goes with the next line
		}
	}
}

// Close writes the lines that wait, for a short time at most.
func (r *Ring) Close() {
	close(r.lines)
	select {
	case <-r.done:
	case <-time.After(flushTimeout):
	}
}
