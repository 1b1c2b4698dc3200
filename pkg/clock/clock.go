// Package clock provides the time used throughout the program: milliseconds since the
// Unix epoch, which never run backwards within one process.
package clock

import (
	"fmt"
	"time"
)

// Millis is an instant or a duration in milliseconds. Instants count from the Unix
// epoch.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts a duration to the type of the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts an instant to the type of the standard library, in UTC.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}

// Or returns m, or the fallback if m is zero, that is, not set.
func (m Millis) Or(fallback Millis) Millis {
	if m == 0 {
		return fallback
	}
	return m
}

// String formats m with its unit, for example "1500ms".
func (m Millis) String() string {
	return fmt.Sprintf("%dms", int64(m))
}

// processStart is the origin of the process clock. The wall clock is read only once;
// later instants add the monotonic time elapsed since then.
var processStart = time.Now()

// Clock returns the current instant. The zero value reads the process clock.
type Clock struct {
	// Read replaces the process clock, for tests and benchmarks.
	Read func() Millis
}

// Now returns the current instant.
func (c Clock) Now() Millis {
	if c.Read != nil {
		return c.Read()
	}
	return Millis(processStart.UnixMilli()) + Millis(time.Since(processStart)/time.Millisecond)
}
