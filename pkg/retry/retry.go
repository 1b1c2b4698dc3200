// Package retry limits how much load retries add to a service (Budget), spaces them
// (Backoff), and decides whether an attempt may be retried and whether a caller may be
// answered that it did not run (Progress).
package retry

import (
	"math/rand/v2"

	"dogwoodlanding.example/dogwood/pkg/clock"
)

//go:generate stringer -type=Progress -output=progress_string.go

// Progress is how far one attempt to run a request has come.
type Progress int

// Progress of an attempt.
const (
	Unsent   Progress = iota // not sent to any server
	Sent                     // a server may be running it
	Answered                 // a server has answered with a result
	Refused                  // the server refused it and did not run it
	Unknown                  // sent, and no answer will come
)

// NotRun reports whether the attempt certainly did not run, so that a caller may be
// answered so.
func (p Progress) NotRun() bool { return p == Unsent || p == Refused }

// MayRetry reports whether the request may be sent to another server. A request that
// is not idempotent may be retried only if the attempt did not run.
func (p Progress) MayRetry(idempotent bool) bool {
	if p == Answered {
		return false
	}
	return p.NotRun() || idempotent
}

// Limits of a budget.
const (
	// Retries that can be saved up.
	maxTokens = 10
	// Retries for each hundred successes. A higher configured share is reduced to this,
	// so that retries add no more load than this when a service collapses.
	maxPercent = 10.0
)

// wholeToken is the least number of tokens that pays for a retry. It is below 1
// because adding up shares in floating point can fall short of it.
const wholeToken = 1 - 1e-9

// Budget is a token bucket that allows retries as a share of recent successes. It
// starts with one retry. The zero value allows the largest share. It is not safe for
// concurrent use.
type Budget struct {
	Percent     float64 // retries for each hundred successes; zero means maxPercent
	tokens      float64
	initialized bool
}

// RecordSuccess adds the share of a retry that one success earns.
func (b *Budget) RecordSuccess() {
	b.init()
	b.tokens = min(maxTokens, b.tokens+b.percent()/100)
}

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.init()
	if b.tokens < wholeToken {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries available.
func (b *Budget) Tokens() float64 { return b.tokens }

func (b *Budget) init() {
	if !b.initialized {
		b.initialized = true
		b.tokens = 1
	}
}

func (b *Budget) percent() float64 {
	if b.Percent <= 0 {
		return maxPercent
	}
	return min(b.Percent, maxPercent)
}

// Backoff returns a jittered delay before the given attempt, counted from 0: half of
// base plus a uniformly random share of min(limit, base << attempt).
func Backoff(random *rand.Rand, attempt int, base, limit clock.Millis) clock.Millis {
	spread := limit
	if attempt < 30 {
		spread = min(limit, base<<attempt)
	}
	return base/2 + clock.Millis(random.Int64N(int64(max(1, spread))))
}
