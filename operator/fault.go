package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/store"
)

// Refusal is the error form of a Fault.
type Refusal struct{ Fault Fault }

// Error returns the messages of the Fault, joined by semicolons.
func (r *Refusal) Error() string { return strings.Join(r.Fault.Faults, "; ") }

func newRefusal(k Kind, format string, args ...any) error {
	return &Refusal{Fault{Kind: k, Faults: []string{fmt.Sprintf(format, args...)}}}
}

// faultOf returns the response body for an error of the configuration or the
// store.
func faultOf(err error) Fault {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Fault
	}
	f := Fault{Kind: kindOf(err), Faults: []string{err.Error()}}
	switch f.Kind {
	case KindInvalid:
		f.Checks = config.CheckErrors(err)
		f.Faults = nil
		for _, c := range f.Checks {
			f.Faults = append(f.Faults, c.Error())
		}
	case KindStale:
		errors.As(err, &f.Stale)
	}
	return f
}

func kindOf(err error) Kind {
	switch {
	case len(config.CheckErrors(err)) > 0:
		return KindInvalid
	case isA[*config.StaleError](err):
		return KindStale
	case isA[*config.UnknownPlanError](err):
		return KindUnknownPlan
	case isA[*config.UnsettledError](err):
		return KindUnsettled
	case isA[*config.IndefiniteError](err):
		return KindIndefinite
	case isA[*config.NotKeptError](err):
		return KindNotKept
	case isA[*config.CorruptError](err):
		return KindCorrupt
	case isA[*config.UnavailableError](err), isA[*store.Error](err):
		return KindUnavailable
	}
	return KindInternal
}

// isA reports whether err wraps an error of type T.
func isA[T error](err error) bool {
	var e T
	return errors.As(err, &e)
}

func statusCode(k Kind) int {
	switch k {
	case KindInvalid, KindMalformed:
		return fasthttp.StatusBadRequest
	case KindStale, KindUnsettled:
		return fasthttp.StatusConflict
	case KindUnknownPlan, KindNotKept, KindNotFound:
		return fasthttp.StatusNotFound
	case KindMethod:
		return fasthttp.StatusMethodNotAllowed
	case KindTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case KindBusy:
		return fasthttp.StatusTooManyRequests
	case KindUnavailable, KindIndefinite:
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusInternalServerError
}
