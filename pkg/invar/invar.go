// Package invar checks invariants at run time. A violation panics unless the process
// has installed a handler, which may count and log it instead.
package invar

import (
	"fmt"
	"sync/atomic"
)

// handler is called with the name of each violated invariant; nil means panic.
var handler atomic.Pointer[func(name string)]

// SetHandler installs a handler for violations. Daemons call it once at startup.
func SetHandler(f func(name string)) { handler.Store(&f) }

// Holds returns ok, which states whether the named invariant holds. If it does not,
// Holds calls the handler or panics. A caller that receives false must not go on as
// if the invariant held.
func Holds(ok bool, name string) bool {
	if ok {
		return true
	}
	f := handler.Load()
	if f == nil {
		panic(fmt.Sprintf("invariant violated: %s", name))
	}
	(*f)(name)
	return false
}
