// Package supervise runs the duties of a process as a tree of supervisors.
//
// A duty is one long-lived goroutine that is the only owner of its state. A
// supervisor starts its children, restarts those that end with an error, and
// fails when they do so more often than its policy allows; its own parent then
// treats it as a failed child. Outside tests this package has the only go
// statement of the module, so every goroutine of the module belongs to the tree.
package supervise

import (
	"context"
	"errors"
	"runtime"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("supervise")

// Duty is a long-lived activity with state of its own.
//
// Run returns when ctx ends, when the duty is finished (nil error), or when it
// has failed. The supervisor calls Run again after a failure, so Run must
// rebuild its state from the owner of that state, and not use what the failed
// run left in memory.
type Duty interface {
	Run(ctx context.Context) error
}

// Func adapts a function to Duty.
type Func func(ctx context.Context) error

// Run calls f.
func (f Func) Run(ctx context.Context) error { return f(ctx) }

// OnOSThread returns a duty that runs d locked to an operating system thread. It
// is meant for duties that block in system calls.
func OnOSThread(d Duty) Duty {
	return Func(func(ctx context.Context) error {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		return d.Run(ctx)
	})
}

type fatalError struct{ err error }

func (e fatalError) Error() string { return e.err.Error() }
func (e fatalError) Unwrap() error { return e.err }

// Fatal marks err as fatal: no supervisor restarts the duty that returns it, and
// every supervisor up to the root ends with it.
func Fatal(err error) error {
	if err == nil {
		return nil
	}
	return fatalError{err}
}

// IsFatal reports whether err was marked by Fatal.
func IsFatal(err error) bool {
	var fatal fatalError
	return errors.As(err, &fatal)
}
