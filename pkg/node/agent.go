package node

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/admit"
	"dogwoodlanding.example/dogwood/pkg/claim"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/member"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/retry"
	"dogwoodlanding.example/dogwood/pkg/share"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"github.com/google/uuid"
)

// Agent makes the decisions for one backend server: whether the server holds a
// flow, whether new flows and requests are admitted, and whether a non-idempotent
// request may run. It is also a home of some of these requests: an agent that grants
// or denies other agents' claims to run them (see package claim).
// Set the exported field before the first call. It is not safe for concurrent use.
type Agent struct {
	Identity Identity

	base
	flows           flow.Owner
	openLimiter     admit.Limiter             // flows between their first and second packet
	openedAt        map[flow.Key]clock.Millis // flows without a second packet yet
	requestLimiter  admit.Limiter             // requests claiming or running
	home            claim.Home
	claimant        claim.Claimant
	homeLayouts     claim.Layouts
	homeCandidates  []claim.Candidate
	homesChangedAt  clock.Millis // when a configuration last set the homes; 0 before the first
	homesKnownSince clock.Millis // this agent has a record of all homes since then
	shareEstimate   share.Estimate
	loadReportedAt  clock.Millis // when a load report was last sent
	retryBudget     retry.Budget
	jobs            map[jobKey]*job // includes ended jobs whose request may still be repeated
	activeJobs      map[jobKey]*job // jobs that have not ended
	endedJobs       []*job          // oldest first
	runningJobs     map[uint64]*job // by Run.Token
	lastToken       uint64
	configuredAt    clock.Millis // when the first configuration came into force
	server          conf.BackendServer
	service         conf.Service
	enabled         bool // the server is declared and its data centre's state is In
	stopping        bool // Drain was called
	serverDraining  bool // the server's health page reports draining
	serverInstance  string
	counts          AgentCounts
}

// AgentCounts counts an agent's decisions since its start. The field names become
// metric names.
type AgentCounts struct {
	Delivered     uint64 // packets forwarded to the server
	Passed        uint64 // packets forwarded to another agent
	Refused       uint64 // packets that no server takes; answered with a reset if TCP
	Dropped       uint64 // packets: owner may be unreachable, or connection table not read yet
	Misaddressed  uint64 // packets of another service, dropped
	OutDropped    uint64 // dropped: no configuration, server not declared, or data centre out
	FlowsOpened   uint64
	FlowsDeclined uint64 // first packets that this agent did not admit
	Requests      uint64 // copies of requests received from callers
	Answered      uint64 // copies answered with a result
	NotRun        uint64 // copies refused because the request did not run
	Unknown       uint64 // copies refused when it is not known whether the request ran
	Late          uint64 // answered after the request's deadline; also in Answered
	Handoffs      uint64 // copies sent to another agent
	Retries       uint64 // requests sent on after this server refused or failed
	ClaimsWon     uint64
	ClaimsLost    uint64
	ClaimsFailed  uint64 // ended neither won nor lost
	ColdStarts    uint64 // warm-ups begun: new server instance or unreachable server
}

func (a *Agent) init(now clock.Millis) {
	if a.initialized {
		return
	}
	a.initBase(a.Identity, a.reconfigure)
	t := a.Identity.Timing
	a.flows = flow.Owner{Self: a.self, TryAdmit: a.admitFlow, Alive: a.members.Alive, AdmissionDisabled: a.mustNotAdmit}
	a.home = claim.Home{Validity: t.RequestIDValidity, Skew: t.MaxClockSkew, MayGrant: a.mayGrant}
	a.home.Start(now)
	a.claimant = claim.Claimant{Self: a.self, Instance: a.Identity.Random.Uint64(), Timeout: t.ClaimTimeout}
	a.homeLayouts = claim.Layouts{Overlap: a.validity() + t.maxPropagation()}
	if !a.Identity.disabled(EvenShare) {
		a.flows.AboveShare = func(now clock.Millis) bool { return a.shareEstimate.AboveShare(now, a.ownLoad()) }
	}
	a.disableMechanisms(now)
	a.openedAt = make(map[flow.Key]clock.Millis)
	a.config.HomesUnchangedFor = a.sinceHomesChanged
	a.jobs = make(map[jobKey]*job)
	a.activeJobs = make(map[jobKey]*job)
	a.runningJobs = make(map[uint64]*job)
}

// disableMechanisms sets up the components without the disabled mechanisms. A duration
// is set to 1 ms for this, because zero means its default.
func (a *Agent) disableMechanisms(now clock.Millis) {
	if a.Identity.disabled(RememberDeclines) {
		a.flows.DeclineTTL = 1
	}
	if a.Identity.disabled(RebuildTable) {
		a.flows.Rebuild(now, nil)
	}
	if a.Identity.disabled(HomeStart) {
		a.home.Start(0)
	}
	if a.Identity.disabled(OldHomes) {
		a.homeLayouts.Overlap = 1
	}
	if a.Identity.disabled(ColdStart) {
		alwaysWarm := func(_ clock.Millis, s *admit.State, _ admit.Sample) { s.Limit = s.WarmLimit }
		a.requestLimiter.Adapt, a.openLimiter.Adapt = alwaysWarm, alwaysWarm
	}
	a.claimant.OneGrantPerSet = a.Identity.disabled(MajorityOfHomes)
}

// minLeaseAge is how long the agent must have held its lease before it admits flows.
func (a *Agent) minLeaseAge() clock.Millis {
	if a.Identity.disabled(MinLeaseAge) {
		return 0
	}
	return a.Identity.Timing.maxPropagation()
}

// oldTableLifetime is how long admission still respects a replaced placement table:
// until every process uses the new one, and no first packet of a flow that another agent
// opened by the old one can be repeated.
func (a *Agent) oldTableLifetime() clock.Millis {
	if a.Identity.disabled(PriorTables) {
		return 0
	}
	return a.Identity.Timing.maxPropagation() + flow.FirstPacketRetransmitWindow
}

func (a *Agent) validity() clock.Millis {
	return a.Identity.Timing.RequestIDValidity.Or(claim.DefaultValidity)
}

func (a *Agent) skew() clock.Millis { return a.Identity.Timing.MaxClockSkew.Or(claim.DefaultSkew) }

// reconfigure updates the agent's state from a configuration that came into force.
func (a *Agent) reconfigure(now clock.Millis, activation *spread.Activation) {
	set := activation.Set
	server, found := set.Server(a.Identity.Name)
	a.enabled = found && set.CentreState(server.DataCentre) == conf.CentreIn
	if found {
		a.server = server
		a.service, _ = set.Service(server.Service)
		a.requestLimiter.SetWarmLimit(server.Slots)
		a.openLimiter.SetWarmLimit(server.Slots * openingsPerSlot)
		a.retryBudget.Percent = a.service.RetryPercent
	}
	delta := set.Delta()
	if delta.Everything || slices.Contains(delta.Services, a.server.Service) {
		a.flows.SetTable(now, placementOf(set, a.server.Service), a.oldTableLifetime())
	}
	if delta.Everything || delta.HostsChanged {
		a.updateHomes(now, activation.Record.Revision, set)
	}
	a.updateMemberState(now)
}

// updateHomes replaces the home layout if the configuration changed the candidates.
// As a home, the agent then rejects claims made with an older configuration.
func (a *Agent) updateHomes(now clock.Millis, revision uint64, set conf.Set) {
	var candidates []claim.Candidate
	for _, server := range set.Servers {
		if set.CentreState(server.DataCentre) == conf.CentreIn {
			candidates = append(candidates, claim.Candidate{ID: place.IDOf(server.Name), DataCentre: server.DataCentre})
		}
	}
	if slices.Equal(candidates, a.homeCandidates) {
		return
	}
	if a.homeCandidates == nil {
		a.homesKnownSince, a.configuredAt = now, now
	}
	a.homesChangedAt = now
	a.homeCandidates = candidates
	a.homeLayouts.Replace(now, claim.NewLayout(candidates))
	a.home.RequireRevision(revision)
}

// updateMemberState publishes to the other processes whether this one takes new work.
func (a *Agent) updateMemberState(now clock.Millis) {
	state := member.Serving
	if a.isDraining() {
		state = member.Draining
	}
	a.members.SetState(now, state)
}

// isDraining reports whether the agent takes no new work, for whatever reason.
func (a *Agent) isDraining() bool {
	drainRequested := a.serverDraining || a.server.State == conf.ServerLeaving
	return a.stopping || !a.enabled || drainRequested && !a.Identity.disabled(DrainLeaving)
}

// mustNotAdmit reports whether the agent must not admit a flow: it drains, is not
// ready, or has not held its lease for long enough. The minimum lease age does not
// apply to the only agent of a service.
func (a *Agent) mustNotAdmit(now clock.Millis) bool {
	if a.isDraining() || !a.config.Ready(now) || !a.members.Leased(now) {
		return true
	}
	return !a.flows.Alone() && a.members.LeasedFor(now) < a.minLeaseAge()
}

// mayGrant reports whether the agent, as a home, may grant claims: it holds its
// lease, and its clock is within half the tolerated skew of its watchers' clocks.
func (a *Agent) mayGrant(now clock.Millis) bool {
	skew := a.members.ClockSkew()
	return a.members.Leased(now) && skew <= a.skew()/2 && -skew <= a.skew()/2
}

// admitFlow admits one more flow if the server has room for it, and reports
// whether it did.
func (a *Agent) admitFlow(now clock.Millis) bool {
	return a.flows.FlowCount() < a.server.Connections && a.openLimiter.TryStart(now)
}

// Counts returns the counters.
func (a *Agent) Counts() AgentCounts { return a.counts }

// HeldFlows returns the number of flows that the server holds.
func (a *Agent) HeldFlows() int {
	return a.flows.FlowCount()
}

// Limits returns how many requests may run at once now, and how many flows may be
// between their first and second packet.
func (a *Agent) Limits() (requests, openings int) {
	return a.requestLimiter.Limit(), a.openLimiter.Limit()
}

// Cold reports whether the limits of the server's warm-up are holding work back.
func (a *Agent) Cold(now clock.Millis) bool {
	return a.requestLimiter.Cold(now) || a.openLimiter.Cold(now)
}

// Draining reports whether the agent takes no new work.
func (a *Agent) Draining() bool { return a.isDraining() }

// PendingClaims returns the number of undecided claims of this agent.
func (a *Agent) PendingClaims() int { return a.claimant.PendingCount() }

// ServiceName returns the service of the agent's server.
func (a *Agent) ServiceName() string { return a.server.Service }

// Leased reports whether the agent holds its lease.
func (a *Agent) Leased(now clock.Millis) bool { return a.members.Leased(now) }

// Tick runs the periodic work. Call it several times a second.
func (a *Agent) Tick(now clock.Millis) []Action {
	a.init(now)
	out := a.tickBase(now)
	a.flows.Tick(now)
	a.home.Tick(now)
	a.expireOpenings(now)
	out = append(out, a.sendLoadReports(now)...)
	out = append(out, a.performClaimActions(now, a.claimant.Tick(now))...)
	out = append(out, a.retryClaims(now)...)
	return append(out, a.expireJobs(now)...)
}

// Control handles a control message from another process.
func (a *Agent) Control(now clock.Millis, m wire.Message) []Action {
	a.init(now)
	switch {
	case m.GrantRequest != nil:
		reply := a.home.Decide(now, *m.GrantRequest)
		return []Action{{Control: &Control{m.From, wire.Message{From: a.self, GrantReply: &reply}}}}
	case m.GrantReply != nil:
		return a.performClaimActions(now, a.claimant.HandleReply(now, m.From, *m.GrantReply))
	case m.Release != nil:
		a.home.Release(*m.Release)
		return nil
	case m.Digest != nil && m.Digest.HomesUnchangedFor > 0:
		a.homesKnownSince = min(a.homesKnownSince, now-m.Digest.HomesUnchangedFor)
		return a.handleShared(now, m)
	case m.LoadReport != nil:
		a.shareEstimate.Record(now, m.From, *m.LoadReport)
		return nil
	case m.Handoff != nil:
		return a.handleHandoff(now, *m.Handoff)
	}
	return a.handleShared(now, m)
}

// HandleServerHealth handles the instance and the draining state that the local server
// reports. A new instance starts a warm-up even if it reports that it is healthy. An
// empty instance means that it is not known.
func (a *Agent) HandleServerHealth(now clock.Millis, instance string, draining bool) {
	a.init(now)
	if instance != "" && instance != a.serverInstance {
		a.serverInstance = instance
		a.coldStart(now)
	}
	if draining != a.serverDraining {
		a.serverDraining = draining
		a.updateMemberState(now)
	}
}

// coldStart resets the adaptive limits, which were learned from an earlier instance
// of the server.
func (a *Agent) coldStart(now clock.Millis) {
	a.counts.ColdStarts++
	a.requestLimiter.Reset(now)
	a.openLimiter.Reset(now)
}

// ServerFlows reconciles the agent's flows with the server's connection table.
func (a *Agent) ServerFlows(now clock.Millis, keys []flow.Key) {
	a.init(now)
	if !a.Identity.disabled(RebuildTable) {
		a.flows.Reconcile(now, keys, unlistedFlowGrace)
	}
}

// Drain begins a planned stop: no new work is admitted.
func (a *Agent) Drain(now clock.Millis) {
	a.init(now)
	a.stopping = true
	a.updateMemberState(now)
}

// Idle reports whether no request is running or waiting for its claim.
func (a *Agent) Idle() bool { return len(a.activeJobs) == 0 }

// Stop returns the messages that announce the process's stop to other processes.
func (a *Agent) Stop(now clock.Millis) []Action {
	a.init(now)
	return a.announceStop(now)
}

// sinceHomesChanged returns how long ago the homes last changed, for the digests to
// other processes. If this agent has seen no change since homesKnownSince, it assumes
// one at that time. It returns 0 before the first configuration.
func (a *Agent) sinceHomesChanged(now clock.Millis) clock.Millis {
	if a.homesChangedAt == 0 {
		return 0
	}
	if a.homesChangedAt > a.homesKnownSince && a.homeLayouts.EverReplaced() {
		return now - a.homesChangedAt
	}
	return now - a.homesKnownSince
}

// mayClaim reports whether the agent knows every set of homes that another agent may
// still use for a request. A new agent has no record of the sets before its start. It
// claims once its record covers the overlap of the layouts, which digests from other
// processes can extend into the past, or if the request identifier was made after
// every process had the configuration that this agent started with.
func (a *Agent) mayClaim(now clock.Millis, request uuid.UUID) bool {
	if a.Identity.disabled(KnownHomeSets) || now-a.homesKnownSince >= a.homeLayouts.Overlap {
		return true
	}
	timestamp, ok := claim.Timestamp(request)
	return ok && timestamp > a.configuredAt+a.Identity.Timing.maxPropagation()+2*a.skew()
}

// Deadline returns the longest time that a request of the service may take.
func (a *Agent) Deadline() clock.Millis { return a.service.Deadline() }

// Objective returns the service-level objective of the service, in percent.
func (a *Agent) Objective() float64 {
	if a.service.ObjectivePercent == 0 {
		return conf.DefaultObjectivePercent
	}
	return a.service.ObjectivePercent
}
