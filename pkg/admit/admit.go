// Package admit limits the concurrent work that an agent admits to its server, so
// that a server that has just started is not overloaded. The agent runs next to the
// server, so the limit holds for any number of balancers. A piece of work is a request
// or the opening of a flow: TryStart admits it, and Done ends it with its latency, by
// which the limit adapts.
package admit

import (
	"math"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/invar"
)

// Sample describes one finished piece of work.
type Sample struct {
	Latency clock.Millis
	Shed    bool // the server rejected the work or failed
	AtLimit bool // the limit was reached while the work ran; set by the Limiter
}

// State is the state of an adaptation rule.
type State struct {
	Limit              float64      // pieces of work that may run concurrently, at least 1
	WarmLimit          float64      // configured limit of a warm server
	WarmUpStart        clock.Millis // start of the present warm-up
	MeanLatency        float64      // moving average, milliseconds
	BaselineLatency    float64      // recent low end of MeanLatency, milliseconds
	Completed          int          // samples with AtLimit since the last step or failure
	CompletionsPerUnit int          // completions for each unit of Limit before it grows
}

// Limiter limits concurrent work. The limit adapts to the latencies and failures of
// the server. The limit of the zero value stays at 1. Set the exported fields before
// the first call. A Limiter is not safe for concurrent use.
type Limiter struct {
	WarmLimit int                                                 // limit of a warm server
	Adapt     func(now clock.Millis, state *State, sample Sample) // nil means ProbeAndBackOff

	state          State
	running        int
	limitReachedAt clock.Millis // last time at which running was at the limit; 0 if never
	started        bool
}

// Reset starts a new warm-up at a limit of 1. Call it when the server has restarted
// or failed. Running work still counts.
func (l *Limiter) Reset(now clock.Millis) {
	l.started = true
	l.state = State{Limit: 1, WarmLimit: float64(max(1, l.WarmLimit)), WarmUpStart: now}
}

// SetWarmLimit changes the limit of a warm server.
func (l *Limiter) SetWarmLimit(limit int) {
	l.WarmLimit = limit
	l.state.WarmLimit = float64(max(1, limit))
	l.state.Limit = min(l.state.Limit, l.state.WarmLimit)
}

// TryStart admits one piece of work and reports true, if the limit allows it. The caller
// must end each admitted piece with Done or Abandon.
func (l *Limiter) TryStart(now clock.Millis) bool {
	if !l.started {
		l.Reset(now)
	}
	if l.running >= int(l.state.Limit) {
		return false
	}
	l.running++
	if l.running >= int(l.state.Limit) {
		l.limitReachedAt = now
	}
	return invar.Holds(l.running <= max(1, l.WarmLimit), "admitted work does not exceed the limit of a warm server")
}

// Done ends one piece of work and adapts the limit to its sample.
func (l *Limiter) Done(now clock.Millis, sample Sample) {
	if !invar.Holds(l.running > 0, "work that ends has been admitted") {
		return
	}
	if l.running >= int(l.state.Limit) {
		l.limitReachedAt = now
	}
	l.running--
	sample.AtLimit = l.limitReachedAt >= now-sample.Latency
	if l.Adapt == nil {
		ProbeAndBackOff(now, &l.state, sample)
	} else {
		l.Adapt(now, &l.state, sample)
	}
	l.state.Limit = max(1, min(l.state.Limit, l.state.WarmLimit))
}

// Abandon ends one piece of work without a sample, such as a cancelled request.
func (l *Limiter) Abandon() {
	if !invar.Holds(l.running > 0, "work that ends has been admitted") {
		return
	}
	l.running--
}

// Running returns the number of pieces of work in progress.
func (l *Limiter) Running() int { return l.running }

// Limit returns how many pieces of work may run concurrently now.
func (l *Limiter) Limit() int { return max(1, int(l.state.Limit)) }

// Warm reports whether the limit has reached that of a warm server.
func (l *Limiter) Warm() bool { return l.started && l.state.Limit >= l.state.WarmLimit }

// coldWindow is how long after the limit was last reached Cold may report true.
const coldWindow = 10 * clock.Second

// Cold reports whether the warm-up delays work: the limit is below that of a warm
// server and was reached within coldWindow.
func (l *Limiter) Cold(now clock.Millis) bool {
	return !l.Warm() && l.limitReachedAt != 0 && now-l.limitReachedAt < coldWindow
}

// Parameters of ProbeAndBackOff.
const (
	minCompletionsPerUnit = 2     // lower bound of CompletionsPerUnit
	initialCompletions    = 14    // divided by the warm limit: initial CompletionsPerUnit
	maxCompletionsPerUnit = 64    // upper bound of CompletionsPerUnit, after repeated failures
	slowRatio             = 1.6   // ratio of mean to baseline latency that counts as slow
	slowSlackMs           = 2.0   // milliseconds above that, for timer and network jitter
	meanWeight            = 0.125 // weight of a new latency in the mean
	baselineRise          = 0.01  // weight of a higher mean in the baseline
	stepFraction          = 0.08  // of the limit, the size of a step; at least 1
	halveWithin           = 2     // a failure after fewer completions halves the limit
)

// ProbeAndBackOff raises the limit by one step after enough work has completed while
// the limit was reached. It lowers the limit by a step when the server sheds work or
// slows down. Each failure doubles the completions needed for the next step, so a
// server that warms up slowly is rarely overloaded.
func ProbeAndBackOff(_ clock.Millis, s *State, sample Sample) {
	if s.CompletionsPerUnit == 0 {
		s.CompletionsPerUnit = max(minCompletionsPerUnit, initialCompletions/int(s.WarmLimit))
	}
	slow := !sample.Shed && s.observeLatency(sample)
	switch {
	case sample.Shed || slow:
		if s.Completed < halveWithin {
			s.Limit /= 2
		} else {
			s.Limit -= math.Max(1, math.Floor(s.Limit*stepFraction))
		}
		s.CompletionsPerUnit = min(maxCompletionsPerUnit, s.CompletionsPerUnit*2)
		s.Completed = 0
	case sample.AtLimit:
		s.Completed++
		if s.Completed >= s.CompletionsPerUnit*int(s.Limit) {
			s.Limit += math.Max(1, math.Floor(s.Limit*stepFraction))
			s.Completed = 0
			s.CompletionsPerUnit = max(minCompletionsPerUnit, s.CompletionsPerUnit-1)
		}
	}
}

// observeLatency updates the mean and the baseline and reports whether the mean is
// clearly above the baseline. It doesn't compare single latencies, because those of a
// healthy server vary by more.
func (s *State) observeLatency(sample Sample) bool {
	latency := float64(max(1, sample.Latency))
	if s.MeanLatency == 0 {
		s.MeanLatency = latency
	}
	s.MeanLatency += (latency - s.MeanLatency) * meanWeight
	if s.BaselineLatency == 0 || s.MeanLatency < s.BaselineLatency {
		s.BaselineLatency = s.MeanLatency
		return false
	}
	s.BaselineLatency += (s.MeanLatency - s.BaselineLatency) * baselineRise
	return s.MeanLatency > slowRatio*s.BaselineLatency+slowSlackMs && s.Limit > 1
}
