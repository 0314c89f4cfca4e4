package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of an AsyncWriter.
const (
	// queueLines is the number of lines that can wait to be written.
	queueLines = 2048
	// infoLinesPerSecond limits lines below level warn; warnLinesPerSecond
	// limits lines of level warn or error.
	infoLinesPerSecond = 400
	warnLinesPerSecond = 200
	// flushTimeout limits how long Close waits for queued lines.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter is an io.Writer for log lines whose Write never blocks on the
// underlying writer. It drops lines that exceed the rate limit for their level
// or that arrive while the queue is full, and reports the number of dropped
// lines in a log line.
type AsyncWriter struct {
	queue chan []byte
	done  chan struct{}

	mu        sync.Mutex
	closed    bool
	second    int64
	infoLines int
	warnLines int

	dropped atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write queues a line, or drops it and counts it as dropped. It does not wait
// for the underlying writer and never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !a.allowed(line) {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.queue <- bytes.Clone(line):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// allowed counts the line against the rate limit for its level in the current
// second, and reports whether the line is within the limit. The caller holds mu.
func (a *AsyncWriter) allowed(line []byte) bool {
	warn := bytes.Contains(line, []byte("level=warn")) || bytes.Contains(line, []byte("level=error"))
	if now := time.Now().Unix(); now != a.second {
		a.second, a.infoLines, a.warnLines = now, 0, 0
	}
	if warn {
		a.warnLines++
		return a.warnLines <= warnLinesPerSecond
	}
	a.infoLines++
	return a.infoLines <= infoLinesPerSecond
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for line := range a.queue {
		if n := a.dropped.Swap(0); n > 0 {
			line = append(line, fmt.Sprintf("level=warn part=logs msg=\"lines left out\" count=%d\n", n)...)
		}
		if _, err := w.Write(line); err != nil {
			a.dropped.Add(1) // reported with the next line that is written
		}
	}
}

// Close stops accepting lines and waits up to flushTimeout for queued lines to
// be written. Lines written after Close are dropped.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	a.closed = true
	close(a.queue)
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}
