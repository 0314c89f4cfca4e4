// Package logs makes the daemons' loggers: logfmt lines with a fixed prefix
// for each part.
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
	opt, err := option(min)
	if err != nil {
		return nil, err
	}
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = log.With(l, "ts", log.DefaultTimestampUTC)
	return level.NewFilter(l, opt), nil
}

// For returns a logger for one part of a daemon.
func For(l log.Logger, part string) log.Logger {
	return log.With(l, "part", part)
}

func option(min string) (level.Option, error) {
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
