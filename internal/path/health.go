package path

import (
	"fmt"

	"dogwoodlanding.example/dogwood/pkg/health"
	"dogwoodlanding.example/dogwood/pkg/steer"
)

// judgeServer makes the agent judge its server by the traffic that it sees, and registers
// the metrics of that.
func (a *Agent) judgeServer() {
	a.core.JudgeServer = true
	a.core.HealthChanged = a.logHealth
	a.healthGauge("dogwood_agent_server_bad", func(s health.Status, _ steer.Counts) float64 {
		if s.Bad {
			return 1
		}
		return 0
	})
	for name, read := range map[string]func(health.Status, steer.Counts) uint64{
		"dogwood_agent_sound_requests_total":   func(s health.Status, _ steer.Counts) uint64 { return s.Sound },
		"dogwood_agent_quick_answers_total":    func(s health.Status, _ steer.Counts) uint64 { return s.Quick },
		"dogwood_agent_ignored_requests_total": func(s health.Status, _ steer.Counts) uint64 { return s.Ignored },
		"dogwood_agent_trial_flows_total":      func(s health.Status, _ steer.Counts) uint64 { return s.Trials },
		"dogwood_agent_unhealthy_denied_total": func(_ health.Status, c steer.Counts) uint64 { return c.Unhealthy },
	} {
		a.healthGauge(name, func(s health.Status, c steer.Counts) float64 { return float64(read(s, c)) })
	}
	for kind := range health.Kind(health.Kinds) {
		a.healthGauge(fmt.Sprintf("dogwood_agent_failed_requests_total{kind=%q}", kind), func(s health.Status, _ steer.Counts) float64 {
			return float64(s.Failed[kind])
		})
	}
}

// healthGauge registers a metric that is read from the agent's state.
func (a *Agent) healthGauge(name string, read func(health.Status, steer.Counts) float64) {
	a.metricSet.NewGauge(name, func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return read(a.core.Health(), a.core.Counts())
	})
}

// logHealth logs a change of the verdict on the server with what it was based on.
func (a *Agent) logHealth(c health.Change) {
	fields := []any{"server", a.Settings.Server, "requests", c.Requests, "failed", c.Failed}
	for kind, n := range c.ByKind {
		if n > 0 {
			fields = append(fields, "failed"+health.Kind(kind).String(), n)
		}
	}
	fields = append(fields, "window", c.Window, "typical", c.Typical, "soundTime", c.SoundTime, "load", a.core.Load(), "slots", a.core.Slots)
	if c.Bad {
		a.Log.Warn("server performs badly: it gets new flows only as trials", fields...)
	} else {
		a.Log.Warn("server performs well again", fields...)
	}
}
