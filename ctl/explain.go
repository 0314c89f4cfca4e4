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

// story is what log files tell of one request.
type story struct {
	lines []logLine
	// bad counts the lines that could not be read, leftOut those that the
	// instances themselves left out.
	bad, leftOut int
}

// explain tells one request's story from the logs of any number of instances.
func (c *command) explain(args []string) error {
	rest, err := c.parse(c.flags("explain"), args)
	if err != nil {
		return err
	}
	if len(rest) == 0 {
		return usageError("explain needs a request's id, then log files (or the log on standard input)")
	}
	s := &story{}
	for _, name := range rest[1:] {
		if err := s.readFile(rest[0], name); err != nil {
			return usageError(fmt.Sprintf("%v: name readable log files", err))
		}
	}
	if len(rest) == 1 {
		if err := s.read(rest[0], "-", os.Stdin); err != nil {
			return err
		}
	}
	return s.print(rest[0], c.stdout)
}

func (s *story) readFile(id, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return s.read(id, name, f)
}

// maxLogLine bounds a log line, in bytes.
const maxLogLine = 1 << 20

// read takes the lines about a request, and counts those that can't be read.
func (s *story) read(id, source string, r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		l, ok := parseLine(source, sc.Text())
		switch {
		case !ok:
			s.bad++
		case l.get("request") == id:
			s.lines = append(s.lines, l)
		case l.get("msg") == "lines left out":
			n, err := strconv.Atoi(l.get("count"))
			if err != nil {
				s.bad++
			}
			s.leftOut += n
		}
	}
	return sc.Err()
}

// parseLine reads a logfmt line; what stands before its time stamp, such as a
// collector's prefix, names its source.
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

// print writes the lines in order of time, with the time since the first.
func (s *story) print(id string, w io.Writer) error {
	sort.SliceStable(s.lines, func(i, k int) bool { return s.lines[i].at.Before(s.lines[k].at) })
	out := bufio.NewWriter(w)
	for _, l := range s.lines {
		fmt.Fprintf(out, "%9.3f ms  %s  %s", l.at.Sub(s.lines[0].at).Seconds()*1000, l.source, l.get("msg"))
		for _, f := range l.fields {
			switch f.key {
			case "ts", "level", "part", "msg", "request":
			default:
				fmt.Fprintf(out, " %s=%s", f.key, f.value)
			}
		}
		fmt.Fprintln(out)
	}
	if len(s.lines) == 0 {
		fmt.Fprintf(out, "no line about request %s\n", id)
	}
	if s.leftOut > 0 {
		fmt.Fprintf(out, "%d lines were left out by the instances' allowance: the story may have gaps\n", s.leftOut)
	}
	if s.bad > 0 {
		fmt.Fprintf(out, "%d lines could not be read and were skipped\n", s.bad)
	}
	return out.Flush()
}
