package notice

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ParseRetryAfter returns the pause that the values of a reply's Retry-After header ask
// for at a time of day: seconds, also fractions of them, or an HTTP date. Of several
// values the longest counts, at most MaxPause. A value that is empty, negative, not a
// number or unreadable counts as none, as does a date that has passed; infinite
// counts as MaxPause.
func ParseRetryAfter(values [][]byte, wall time.Time) (pause time.Duration) {
	for _, v := range values {
		pause = max(pause, parseOne(strings.TrimSpace(string(v)), wall))
	}
	return pause
}

func parseOne(text string, wall time.Time) time.Duration {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil || math.IsInf(seconds, 1) {
		switch {
		case math.IsNaN(seconds) || seconds <= 0:
			return 0
		case seconds >= MaxPause.Seconds():
			return MaxPause
		}
		return time.Duration(seconds * float64(time.Second))
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	return max(0, min(at.Sub(wall), MaxPause))
}
