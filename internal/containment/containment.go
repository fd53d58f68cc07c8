// Package containment limits what a panic ends.
//
// A panic while input from outside is decoded becomes an error of that input. A panic in
// the work of one session ends the session. Any other panic ends the process, which the
// platform restarts: a table that sessions share may have been changed in part, and a
// host that serves on from it could break a guarantee for all of them.
package containment

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrPanic is in the chain of the error that Call returns after a panic.
var ErrPanic = eris.New("panic")

// Call calls decode and returns its error. A panic in decode becomes an error with the
// stack. Decode must not change state that others share.
func Call(decode func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = fmt.Errorf("%w: %v\n%s", ErrPanic, value, debug.Stack())
		}
	}()
	return decode()
}

// Guard contains panics in work that uses shared state at some points.
type Guard struct {
	// Shared lists the functions that change state that others share, as prefixes of
	// their names with package path and receiver.
	Shared []string
	// OnPanic is called with the value and the stack of a contained panic.
	OnPanic func(value any, stack []byte)
}

// Run calls work. If work panics, Run calls OnPanic and returns, unless a function of
// Shared was running: then the panic goes on and ends the process.
func (g Guard) Run(work func()) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if g.sharedRunning() {
			panic(value)
		}
		g.OnPanic(value, debug.Stack())
	}()
	work()
}

// sharedRunning reports whether a function of Shared is among the callers. It is called
// while a panic is recovered, when the stack still holds the functions that panicked.
func (g Guard) sharedRunning() bool {
	callers := make([]uintptr, maxFrames)
	frames := runtime.CallersFrames(callers[:runtime.Callers(1, callers)])
	for {
		frame, more := frames.Next()
		for _, prefix := range g.Shared {
			if strings.HasPrefix(frame.Function, prefix) {
				return true
			}
		}
		if !more {
			return false
		}
	}
}

// maxFrames is the number of callers that are examined. The work of a session is far
// less deep.
const maxFrames = 256
