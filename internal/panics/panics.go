// Package panics keeps a panic in the work for one request or message from ending
// the process.
package panics

import (
	"fmt"
	"runtime/debug"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"
)

// Error is a recovered panic.
type Error struct {
	// Where names the work that panicked.
	Where string
	Value any
}

// Error returns the panic's value.
func (e *Error) Error() string {
	return fmt.Sprintf("panic in %s: %v: report this with the stack from the log", e.Where, e.Value)
}

// Guard runs work with recovered panics. The zero value logs and counts nothing.
type Guard struct {
	Log log.Logger
	// Count is incremented by each panic.
	Count gometrics.Counter
}

// Run calls do. It returns an *Error if do panics, after logging the stack.
func (g Guard) Run(where string, do func()) (err error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		err = &Error{Where: where, Value: v}
		if g.Count != nil {
			g.Count.Inc(1)
		}
		if g.Log != nil {
			level.Error(g.Log).Log("msg", "panic", "where", where, "value", fmt.Sprint(v), "stack", string(debug.Stack()))
		}
	}()
	do()
	return nil
}
