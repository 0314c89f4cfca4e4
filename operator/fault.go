package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/store"
)

// Refusal is a Fault as an error.
type Refusal struct{ Fault Fault }

// Error joins the messages.
func (r *Refusal) Error() string { return strings.Join(r.Fault.Faults, "; ") }

func refusal(k Kind, format string, args ...any) error {
	return &Refusal{Fault{Kind: k, Faults: []string{fmt.Sprintf(format, args...)}}}
}

// faultOf classifies an error of the configuration or the platform.
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
	case is[*config.StaleError](err):
		return KindStale
	case is[*config.UnknownPlanError](err):
		return KindUnknownPlan
	case is[*config.UnsettledError](err):
		return KindUnsettled
	case is[*config.IndefiniteError](err):
		return KindIndefinite
	case is[*config.NotKeptError](err):
		return KindNotKept
	case is[*config.CorruptError](err):
		return KindCorrupt
	case is[*config.UnavailableError](err), is[*store.Error](err):
		return KindUnavailable
	}
	return KindInternal
}

// is tells whether err holds an error of type T.
func is[T error](err error) bool {
	var e T
	return errors.As(err, &e)
}

func status(k Kind) int {
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
