// Package logs creates the daemons' loggers. They write logfmt lines with a
// timestamp and the name of the component.
package logs

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes logfmt lines of at least the given level
// ("debug", "info", "warn" or "error") to w.
func New(w io.Writer, min string) (log.Logger, error) {
	opt, err := levelOption(min)
	if err != nil {
		return nil, err
	}
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = log.With(l, "ts", log.DefaultTimestampUTC)
	return level.NewFilter(l, opt), nil
}

// WithPart returns a logger that adds the component's name to each line under
// the key "part".
func WithPart(l log.Logger, part string) log.Logger {
	return log.With(l, "part", part)
}

// levelOption returns the filter for a level name; an empty name means info.
func levelOption(min string) (level.Option, error) {
	switch min {
	case "debug":
		return level.AllowDebug(), nil
	case "", "info":
		return level.AllowInfo(), nil
	case "warn":
		return level.AllowWarn(), nil
	case "error":
		return level.AllowError(), nil
	}
	return nil, fmt.Errorf("log level %q is not known: use debug, info, warn or error", min)
}
