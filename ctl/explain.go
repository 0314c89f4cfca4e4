package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// field is one key and value of a log line.
type field struct{ key, value string }

// logLine is one line of an instance's log.
type logLine struct {
	at     time.Time
	source string
	text   string
	fields []field
}

func (l *logLine) get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// requestLog collects the log lines of one request.
type requestLog struct {
	lines []logLine
	// malformed counts the lines that could not be parsed, omitted the lines
	// that the instances did not write because of their log limits.
	malformed, omitted int
}

// explain prints the log lines of one request from the logs of any number of
// instances.
func (c *command) explain(args []string) error {
	rest, err := c.parse(c.flags("explain"), args)
	if err != nil {
		return err
	}
	if len(rest) == 0 {
		return usageError("explain needs a request ID, then log files (or the log on standard input)")
	}
	l := &requestLog{}
	for _, name := range rest[1:] {
		if err := l.readFile(rest[0], name); err != nil {
			return usageError(fmt.Sprintf("%v: name readable log files", err))
		}
	}
	if len(rest) == 1 {
		if err := l.read(rest[0], "-", os.Stdin); err != nil {
			return err
		}
	}
	return l.print(rest[0], c.stdout)
}

func (r *requestLog) readFile(id, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return r.read(id, name, f)
}

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// read collects the lines of the request id, and counts the malformed and the
// omitted ones.
func (r *requestLog) read(id, source string, in io.Reader) error {
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		l, ok := parseLine(source, sc.Text())
		switch {
		case !ok:
			r.malformed++
		case l.get("request") == id:
			r.lines = append(r.lines, l)
		case l.get("msg") == "lines left out":
			n, err := strconv.Atoi(l.get("count"))
			if err != nil {
				r.malformed++
			}
			r.omitted += n
		}
	}
	return sc.Err()
}

// parseLine parses a logfmt line. Text before its timestamp, such as the prefix
// of a log collector, replaces source.
func parseLine(source, text string) (logLine, bool) {
	i := strings.Index(text, "ts=")
	if i < 0 {
		return logLine{}, false
	}
	if prefix := strings.TrimSpace(text[:i]); prefix != "" {
		source = prefix
	}
	l := logLine{source: source, text: text[i:]}
	d := logfmt.NewDecoder(strings.NewReader(text[i:]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields = append(l.fields, field{string(d.Key()), string(d.Value())})
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.get("ts"))
	l.at = at
	return l, d.Err() == nil && err == nil
}

// print writes the lines in order of time, each with the time since the first.
func (r *requestLog) print(id string, w io.Writer) error {
	sort.SliceStable(r.lines, func(i, k int) bool { return r.lines[i].at.Before(r.lines[k].at) })
	out := bufio.NewWriter(w)
	for _, l := range r.lines {
		fmt.Fprintf(out, "%9.3f ms  %s  %s", l.at.Sub(r.lines[0].at).Seconds()*1000, l.source, l.get("msg"))
		for _, f := range l.fields {
			switch f.key {
			case "ts", "level", "part", "msg", "request":
			default:
				fmt.Fprintf(out, " %s=%s", f.key, f.value)
			}
		}
		fmt.Fprintln(out)
	}
	if len(r.lines) == 0 {
		fmt.Fprintf(out, "no line about request %s\n", id)
	}
	if r.omitted > 0 {
		fmt.Fprintf(out, "%d lines were left out by the instances' log limits: lines of this request may be missing\n", r.omitted)
	}
	if r.malformed > 0 {
		fmt.Fprintf(out, "%d lines could not be read and were skipped\n", r.malformed)
	}
	return out.Flush()
}
