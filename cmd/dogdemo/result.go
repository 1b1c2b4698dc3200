package main

import (
	"sort"
	"time"

	"dogwoodlanding.example/dogwood/internal/fakes/caller"
	"dogwoodlanding.example/dogwood/internal/fakes/plat"
	"dogwoodlanding.example/dogwood/internal/fakes/server"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
)

// lastPacketLimitMs is how long after a data centre was taken out of service a packet
// may still reach its servers.
const lastPacketLimitMs = 5000

// Result holds what was observed of one deployment. It is derived from the records of
// the stand-ins, except ControlBytesPerNodePerSecond and InvariantViolations: no
// stand-in can observe these, so they come from the counters of balancers and agents.
type Result struct {
	Deployment                   string
	Flows                        int
	BrokenFlows                  int
	FlowsGivenUp                 int // broken after their data centre was taken out of service
	FlowsLostWithServer          int // broken by the restart of their server
	FlowsRefused                 int
	DoubleOwners                 int // flows that more than one server holds
	Requests                     int
	Answered                     int
	NotRun                       int // refused, and reported as not run
	Unknown                      int
	Unanswered                   int // given up by the caller without any answer
	WrongAnswers                 int
	DoubleRuns                   int // non-idempotent requests that ran more than once
	FalseRefusals                int // reported as not run although they ran
	RefusalsWithoutRetryAfter    int
	MisroutedPackets             int
	Sheds                        int     // requests that overloaded servers rejected
	Falls                        int     // server crashes from overload
	Imbalance                    float64 // see imbalance; before the first fault
	LastPacketAfterOutMs         int64
	P50Ms                        int64
	P99Ms                        int64
	LongestSilenceMs             int64
	PlatformCalls                uint64
	ControlBytesPerNodePerSecond float64
	InvariantViolations          uint64
	Reasons                      map[string]int // of refusals and unknown outcomes
}

// violations lists the guarantees that the run violated.
func (r Result) violations() []string {
	var out []string
	require := func(ok bool, guarantee string) {
		if !ok {
			out = append(out, guarantee)
		}
	}
	require(r.Flows > 0 && r.Answered > 0, "traffic is served")
	require(r.BrokenFlows == 0, "an established flow survives planned changes")
	require(r.DoubleOwners == 0, "a flow has one owner")
	require(r.MisroutedPackets == 0, "a packet reaches only its own service")
	require(r.WrongAnswers == 0, "an answer is complete and belongs to its request")
	require(r.DoubleRuns == 0, "a non-idempotent request runs at most once")
	require(r.FalseRefusals == 0, "a request reported as not run did not run")
	require(r.RefusalsWithoutRetryAfter == 0, "a refusal has a retry-after time")
	require(r.Falls == 0, "a cold server does not crash from overload")
	require(r.LastPacketAfterOutMs < lastPacketLimitMs, "a data centre that is out receives no packets")
	require(r.InvariantViolations == 0, "invariants hold")
	return out
}

// serverStats is a declared server with the counters of its stand-in.
type serverStats struct {
	declared conf.BackendServer
	stats    server.Stats
}

// readServerStats reads the counters of all servers.
func (s *scenario) readServerStats() ([]serverStats, error) {
	var out []serverStats
	for _, declared := range s.fleet.config.Servers {
		entry := serverStats{declared: declared}
		if err := s.fleet.get(s.fleet.serverHost(declared)+":8080", "/control/stats", &entry.stats); err != nil {
			return nil, err
		}
		out = append(out, entry)
	}
	return out, nil
}

// recordBalance records the servers' counters before the first fault.
func (s *scenario) recordBalance() error {
	servers, err := s.readServerStats()
	s.statsBeforeFaults = servers
	return err
}

// recordLastPacket records when the last packet reached a server of the data centre
// that is out of service.
func (s *scenario) recordLastPacket() error {
	servers, err := s.readServerStats()
	for _, v := range servers {
		if v.declared.DataCentre == s.dataCentre {
			s.lastPacketAfterOutMs = max(s.lastPacketAfterOutMs, v.stats.LastPacketMs-s.outSince.UnixMilli())
		}
	}
	return err
}

// collectResult collects the counters of the stand-ins, balancers and agents.
func (s *scenario) collectResult() (Result, error) {
	r := Result{Deployment: s.fleet.name, LastPacketAfterOutMs: s.lastPacketAfterOutMs, Imbalance: imbalance(s.statsBeforeFaults)}
	var callerReport caller.Report
	if err := s.fleet.get(s.fleet.callerHost()+":8080", "/control/report", &callerReport); err != nil {
		return r, err
	}
	var platformStats plat.Stats
	if err := s.fleet.get(s.fleet.platformAddr(), "/control/stats", &platformStats); err != nil {
		return r, err
	}
	r.PlatformCalls = platformStats.Calls
	s.addCallerReport(&r, callerReport)
	if err := s.addServerRecords(&r, callerReport); err != nil {
		return r, err
	}
	s.addProcessStates(&r)
	return r, nil
}

// addCallerReport adds what the caller observed. A broken flow is attributed to its
// data centre or its server if it broke after that was taken out of service or
// restarted.
func (s *scenario) addCallerReport(r *Result, callerReport caller.Report) {
	r.Flows, r.FlowsRefused = callerReport.Flows, callerReport.FlowsRefused
	r.Requests, r.Answered, r.NotRun, r.Unknown = callerReport.Requests, callerReport.Answered, callerReport.NotRun, callerReport.Unknown
	r.Unanswered, r.WrongAnswers = callerReport.Late, callerReport.WrongAnswers
	r.RefusalsWithoutRetryAfter = callerReport.RetryAfterNil
	r.LongestSilenceMs = callerReport.SilentMs
	r.Reasons = callerReport.Reasons
	r.P50Ms, r.P99Ms = quantile(callerReport.AnswerMs, 0.5), quantile(callerReport.AnswerMs, 0.99)
	for _, b := range callerReport.Broken {
		declared, _ := s.fleet.config.Server(b.Server)
		at := time.UnixMilli(b.AtMs)
		switch {
		case declared.DataCentre == s.dataCentre && at.After(s.outSince):
			r.FlowsGivenUp++
		case b.Server == s.restartedServer.Name && at.After(s.restartedAt):
			r.FlowsLostWithServer++
		default:
			r.BrokenFlows++
			s.logf("broken flow of %s at %s: %s", b.Service, b.Server, b.Cause)
		}
	}
}

// addServerRecords adds the servers' counters. It finds flows with several owners,
// double runs and false refusals by comparing the servers' records with each other and
// with the caller's.
func (s *scenario) addServerRecords(r *Result, callerReport caller.Report) error {
	servers, err := s.readServerStats()
	if err != nil {
		return err
	}
	// The key is the method and the identifier of a request, separated by a space.
	runsByRequest := make(map[string]int)
	// The key is a copy that ran. A key without a copy number means that any copy ran.
	// Since copies are numbered from 0, it equals the key of an idempotent copy 0.
	ranCopies := make(map[caller.Refusal]bool)
	holderCounts := make(map[string]int)
	for _, v := range servers {
		r.MisroutedPackets += v.stats.Misrouted
		r.Sheds += v.stats.Sheds
		r.Falls += v.stats.Falls
		if err := s.readServerRecords(v, runsByRequest, ranCopies, holderCounts); err != nil {
			return err
		}
	}
	for _, held := range holderCounts {
		if held > 1 {
			r.DoubleOwners++
		}
	}
	for _, service := range s.fleet.config.Services {
		for _, method := range service.NonIdempotent {
			for key, count := range runsByRequest {
				if len(key) > len(method) && key[:len(method)] == method && count > 1 {
					r.DoubleRuns++
				}
			}
		}
	}
	// A refused non-idempotent request must not have run at all: no other copy may have
	// run either.
	for _, refusal := range callerReport.NotRunIDs {
		if ranCopies[refusal] || refusal.NonIdempotent && ranCopies[caller.Refusal{ID: refusal.ID}] {
			r.FalseRefusals++
		}
	}
	return nil
}

// readServerRecords reads which requests a server ran and which flows it holds, and
// adds them to the maps.
func (s *scenario) readServerRecords(v serverStats, runsByRequest map[string]int, ranCopies map[caller.Refusal]bool, holderCounts map[string]int) error {
	var runs []server.Run
	addr := s.fleet.serverHost(v.declared) + ":8080"
	if err := s.fleet.get(addr, "/control/runs", &runs); err != nil {
		return err
	}
	for _, run := range runs {
		runsByRequest[run.Method+" "+run.ID]++
		ranCopies[caller.Refusal{ID: run.ID, Copy: run.Copy}] = true
		ranCopies[caller.Refusal{ID: run.ID, Copy: run.Copy, NonIdempotent: true}] = true
		ranCopies[caller.Refusal{ID: run.ID}] = true
	}
	var flows []struct{ Source, Target string }
	if err := s.fleet.get(addr, "/flows", &flows); err != nil {
		return err
	}
	for _, flow := range flows {
		holderCounts[flow.Source+" "+flow.Target]++
	}
	return nil
}

// addProcessStates adds what balancers and agents counted themselves. The instance of a
// process is the time of its start in milliseconds.
func (s *scenario) addProcessStates(r *Result) {
	states := s.fleet.readStates()
	total := 0.0
	for _, state := range states {
		seconds := float64(state.At-clock.Millis(state.Instance)) / 1000
		total += float64(state.ControlSentBytes+state.ControlReceivedBytes) / max(1, seconds)
		r.InvariantViolations += state.InvariantViolations
	}
	r.ControlBytesPerNodePerSecond = total / float64(max(1, len(states)))
}

// imbalance returns the ratio of the highest to the mean number of opened flows among
// the servers of the service with the most servers.
func imbalance(servers []serverStats) float64 {
	flowsByService := make(map[string][]int)
	for _, v := range servers {
		flowsByService[v.declared.Service] = append(flowsByService[v.declared.Service], v.stats.FlowsOpened)
	}
	var largest []int
	for _, flowCounts := range flowsByService {
		if len(flowCounts) > len(largest) {
			largest = flowCounts
		}
	}
	total, highest := 0, 0
	for _, n := range largest {
		total += n
		highest = max(highest, n)
	}
	if total == 0 {
		return 0
	}
	return float64(highest) * float64(len(largest)) / float64(total)
}

// quantile returns the q-quantile of the values, 0 if there are none.
func quantile(values []int64, q float64) int64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]int64(nil), values...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))]
}
