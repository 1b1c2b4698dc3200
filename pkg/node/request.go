package node

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/admit"
	"dogwoodlanding.example/dogwood/pkg/claim"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/invar"
	"dogwoodlanding.example/dogwood/pkg/member"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/retry"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"github.com/google/uuid"
)

// Backoff parameters of the retry delay in answers without a result.
const (
	retryAfterBase  = 500 * clock.Millis(1)
	retryAfterLimit = 2 * clock.Second
)

// jobKey identifies a job. All copies of a non-idempotent request are one job;
// each copy of another request is a job of its own.
type jobKey struct {
	id   uuid.UUID
	copy int
}

// anyCopy is the copy number in the key of a non-idempotent request's job.
const anyCopy = -1

//go:generate stringer -type=jobState -linecomment -output=jobstate_string.go

// jobState is the stage that a job has reached.
type jobState int

const (
	// The job is new, or its homes have been asked to grant the claim.
	jobClaiming jobState = iota
	// A home has a newer configuration, and the job waits for it.
	jobAwaitingConfig // jobBehind
	// The request has been sent to the local server.
	jobRunning
	// The final answer is known.
	jobEnded
)

// job is a request that this agent handles: it runs the request on its server, or
// claims it in order to refuse it.
type job struct {
	key        jobKey
	request    wire.Request
	waiters    []waiter
	idempotent bool
	refuseOnly bool // claimed so that no agent runs the request, then answered as not run
	state      jobState
	attempt    claim.Attempt
	revision   uint64     // configuration that the claim was made with
	visited    []place.ID // agents that did not accept the request
	token      uint64     // of the run; 0 before it
	startedAt  clock.Millis
	endedAt    clock.Millis
	answer     wire.Answer
}

// waiter is one copy of a request that waits for the job's answer.
type waiter struct {
	request wire.Request
	origin  place.ID // agent that holds the caller's connection; 0 if none
}

// Request handles one copy of a request that a caller sent to this agent. The copy is
// dropped if the agent has no configuration, or if its server is not declared or in
// a data centre that is out.
func (a *Agent) Request(now clock.Millis, request wire.Request) []Action {
	a.init(now)
	if !a.enabled || !a.config.Ready(now) {
		a.counts.OutDropped++
		return nil
	}
	a.counts.Requests++
	return a.acceptRequest(now, request, nil, 0)
}

// handleHandoff handles a message from another agent: the answer to a request that
// this agent forwarded, a copy of a request whose claim this agent won, or a request
// to accept.
func (a *Agent) handleHandoff(now clock.Millis, h wire.Handoff) []Action {
	if h.Answer != nil {
		return []Action{{Respond: &Respond{h.Request, *h.Answer}}}
	}
	w := waiter{h.Request, h.Origin}
	if h.Holder == nil {
		if !a.enabled || !a.config.Ready(now) {
			return a.refuseUnclaimed(now, h.Request, h.Visited, h.Origin)
		}
		return a.acceptRequest(now, h.Request, h.Visited, h.Origin)
	}
	claimed := a.jobs[jobKey{h.Request.ID, anyCopy}]
	if claimed == nil || claimed.attempt != *h.Holder {
		return a.respond(now, w, wire.Answer{Outcome: wire.Unknown, Reason: "the agent that claimed the request no longer knows it"})
	}
	return a.joinJob(now, claimed, w)
}

// acceptRequest adds one copy of a request to the job that already handles it, starts
// a job here, or forwards the copy to another agent.
func (a *Agent) acceptRequest(now clock.Millis, request wire.Request, visited []place.ID, origin place.ID) []Action {
	idempotent := a.service.Idempotent(request.Method)
	key := jobKey{request.ID, anyCopy}
	if idempotent {
		key.copy = request.Copy
	}
	w := waiter{request, origin}
	if known := a.jobs[key]; known != nil {
		return a.joinJob(now, known, w)
	}
	if now >= request.Expires {
		return a.respond(now, w, wire.Answer{Outcome: wire.Unknown, Reason: "the request's deadline has passed"})
	}
	claimable := idempotent || a.mayClaim(now, request.ID)
	if a.isDraining() || !claimable || !a.members.Leased(now) || !a.requestLimiter.TryStart(now) {
		return a.forwardRequest(now, request, visited, origin)
	}
	j := &job{key: key, request: request, waiters: []waiter{w}, idempotent: idempotent, visited: visited, startedAt: now}
	a.addJob(j)
	if idempotent {
		return a.runJob(j)
	}
	return a.claimJob(now, j)
}

// joinJob adds a copy to a job, or answers it if the job has ended.
func (a *Agent) joinJob(now clock.Millis, j *job, w waiter) []Action {
	if j.state == jobEnded {
		return a.respond(now, w, j.answer)
	}
	j.waiters = append(j.waiters, w)
	return nil
}

// forwardRequest sends a request that no server has received to the next agent.
func (a *Agent) forwardRequest(now clock.Millis, request wire.Request, visited []place.ID, origin place.ID) []Action {
	visited = append(slices.Clip(visited), a.self)
	next, ok := a.nextAgent(request, visited)
	if !ok {
		return a.refuseUnclaimed(now, request, visited, origin)
	}
	return a.sendHandoff(next, wire.Handoff{Request: request, Visited: visited, Origin: a.originOf(request, origin)})
}

// originOf returns the agent that holds the caller's HTTP connection: this agent if
// the request arrived here, and otherwise the origin that came with the handoff. It
// is 0 for a request that arrived in a packet.
func (a *Agent) originOf(request wire.Request, origin place.ID) place.ID {
	if request.HTTPHandle != 0 && origin == 0 {
		return a.self
	}
	return origin
}

func (a *Agent) sendHandoff(to place.ID, h wire.Handoff) []Action {
	a.counts.Handoffs++
	return []Action{{Control: &Control{to, wire.Message{From: a.self, Handoff: &h}}}}
}

// nextAgent returns the first agent in the placement order that can be reached, takes
// new work and has not been visited.
func (a *Agent) nextAgent(request wire.Request, visited []place.ID) (place.ID, bool) {
	var buffer [flow.DefaultMaxHops]place.ID
	count := a.flows.Table().Rank(request.Caller.Hash(), buffer[:])
	for _, id := range buffer[:count] {
		if !slices.Contains(visited, id) && a.members.Alive(id) && a.members.State(id) == member.Serving {
			return id, true
		}
	}
	return 0, false
}

// refuseUnclaimed refuses a request that no agent has room for. A non-idempotent one
// is claimed first, so that no other copy can run after the refusal.
func (a *Agent) refuseUnclaimed(now clock.Millis, request wire.Request, visited []place.ID, origin place.ID) []Action {
	w := waiter{request, origin}
	if a.service.Name == "" {
		return a.respond(now, w, wire.Answer{Outcome: wire.Unknown, Reason: "this agent has no configuration yet"})
	}
	if a.service.Idempotent(request.Method) || a.Identity.disabled(ClaimedRefusal) {
		return a.respond(now, w, wire.Answer{Outcome: wire.NotRun, Reason: "no backend server has room"})
	}
	if !a.members.Leased(now) {
		return a.respond(now, w, wire.Answer{Outcome: wire.Unknown, Reason: "this agent is cut off from its neighbours"})
	}
	if !a.mayClaim(now, request.ID) {
		return a.respond(now, w, wire.Answer{Outcome: wire.Unknown, Reason: "this agent has just started and cannot tell whether the request ran"})
	}
	key := jobKey{request.ID, anyCopy}
	if known := a.jobs[key]; known != nil {
		return a.joinJob(now, known, w)
	}
	j := &job{key: key, request: request, waiters: []waiter{w}, refuseOnly: true, visited: visited, startedAt: now}
	a.addJob(j)
	return a.claimJob(now, j)
}

// claimJob asks the homes for the right to run a job.
func (a *Agent) claimJob(now clock.Millis, j *job) []Action {
	sets, ok := a.homeLayouts.HomeSets(now, j.request.ID)
	if !ok {
		return a.failJob(now, j, wire.Answer{Outcome: wire.Unknown, Reason: "too many configuration changes overlap"})
	}
	attempt, actions := a.claimant.Begin(now, j.request.ID, a.config.Revision(), sets)
	j.state = jobClaiming
	j.attempt, j.revision = attempt, a.config.Revision()
	return a.performClaimActions(now, actions)
}

// performClaimActions converts the claimant's messages to actions and handles the
// claims that have ended.
func (a *Agent) performClaimActions(now clock.Millis, actions []claim.Action) []Action {
	var out []Action
	for _, action := range actions {
		switch {
		case action.GrantRequest != nil:
			request := action.GrantRequest.Request
			out = append(out, Action{Control: &Control{action.GrantRequest.To, wire.Message{From: a.self, GrantRequest: &request}}})
		case action.Release != nil:
			release := action.Release.Release
			out = append(out, Action{Control: &Control{action.Release.To, wire.Message{From: a.self, Release: &release}}})
		case action.Done != nil:
			out = append(out, a.handleClaimResult(now, *action.Done)...)
		}
	}
	return out
}

// handleClaimResult handles the verdict on a claim.
func (a *Agent) handleClaimResult(now clock.Millis, done claim.Done) []Action {
	j := a.jobs[jobKey{done.Request, anyCopy}]
	if !invar.Holds(j != nil && j.state == jobClaiming, "a claim ends while its job waits for it") {
		return nil
	}
	switch done.Verdict {
	case claim.Won:
		a.counts.ClaimsWon++
		return a.handleClaimWon(now, j)
	case claim.Lost:
		a.counts.ClaimsLost++
		return a.handleClaimLost(now, j, done.Holder)
	case claim.Behind:
		j.state = jobAwaitingConfig
		return nil
	case claim.Stale:
		a.counts.ClaimsFailed++
		return a.failJob(now, j, wire.Answer{Outcome: wire.Unknown, Reason: "the request identifier is outside its validity"})
	}
	a.counts.ClaimsFailed++
	return a.failJob(now, j, wire.Answer{Outcome: wire.Unknown, Reason: "the request's homes did not agree in time"})
}

// handleClaimWon runs a job, unless it was claimed to be refused, the lease was lost
// or the deadline has passed.
func (a *Agent) handleClaimWon(now clock.Millis, j *job) []Action {
	switch {
	case j.refuseOnly:
		return a.finishJob(now, j, wire.Answer{Outcome: wire.NotRun, Reason: "no backend server has room"})
	case !a.members.Leased(now):
		a.releaseAdmission(j)
		return a.finishJob(now, j, wire.Answer{Outcome: wire.NotRun, Reason: "this agent lost its lease before the request ran"})
	case now >= j.request.Expires:
		a.releaseAdmission(j)
		return a.finishJob(now, j, wire.Answer{Outcome: wire.NotRun, Reason: "the deadline passed before the request ran"})
	}
	return a.runJob(j)
}

// releaseAdmission returns a job's admission by the request limiter. A job with
// refuseOnly has none.
func (a *Agent) releaseAdmission(j *job) {
	if !j.refuseOnly {
		a.requestLimiter.Abandon()
	}
}

// handleClaimLost sends the waiting copies to the agent whose attempt was granted.
func (a *Agent) handleClaimLost(now clock.Millis, j *job, holder claim.Attempt) []Action {
	a.releaseAdmission(j)
	a.removeJob(j)
	var out []Action
	for _, w := range j.waiters {
		if holder.Agent == a.self || !a.members.Alive(holder.Agent) {
			out = append(out, a.respond(now, w, wire.Answer{Outcome: wire.Unknown, Reason: "the agent that claimed the request is gone"})...)
			continue
		}
		out = append(out, a.sendHandoff(holder.Agent, wire.Handoff{Request: w.request, Holder: &holder, Origin: a.originOf(w.request, w.origin)})...)
	}
	return out
}

// failJob answers the waiting copies of a job whose attempt never runs, and removes
// the job, so that a later copy of the request can claim again.
func (a *Agent) failJob(now clock.Millis, j *job, answer wire.Answer) []Action {
	a.releaseAdmission(j)
	a.removeJob(j)
	var out []Action
	for _, w := range j.waiters {
		out = append(out, a.respond(now, w, answer)...)
	}
	return out
}

// runJob sends a job to the local server.
func (a *Agent) runJob(j *job) []Action {
	if !invar.Holds(j.state == jobClaiming && !j.refuseOnly, "a job is sent to the server once") {
		return nil
	}
	a.lastToken++
	j.token = a.lastToken
	j.state = jobRunning
	a.runningJobs[j.token] = j
	return []Action{{Run: &Run{j.token, j.request}}}
}

// ServerAnswer handles the local server's answer to the run with the given token. An
// answer after the run was cancelled is ignored.
func (a *Agent) ServerAnswer(now clock.Millis, token uint64, answer ServerAnswer) []Action {
	a.init(now)
	j := a.runningJobs[token]
	if j == nil {
		return nil
	}
	delete(a.runningJobs, token)
	a.requestLimiter.Done(now, admit.Sample{
		Latency: answer.Latency,
		Shed:    answer.Kind != Ran,
	})
	if answer.Kind == Unsent {
		a.coldStart(now)
	}
	if answer.Instance != "" {
		a.HandleServerHealth(now, answer.Instance, a.serverDraining)
	}
	if answer.Kind == Ran {
		a.retryBudget.RecordSuccess()
		return a.finishJob(now, j, wire.Answer{Outcome: wire.Done, Result: answer.Result})
	}
	return a.retryOrRefuse(now, j, progressOf(answer.Kind))
}

// progressOf returns how far an attempt without a result has come.
func progressOf(kind AnswerKind) retry.Progress {
	switch kind {
	case Shed:
		return retry.Refused
	case Unsent:
		return retry.Unsent
	}
	return retry.Unknown
}

// retryOrRefuse sends an idempotent job to another agent if the retry budget allows
// it. Otherwise it answers NotRun if the server certainly did not run the request,
// and Unknown if it may have.
func (a *Agent) retryOrRefuse(now clock.Millis, j *job, progress retry.Progress) []Action {
	if j.idempotent && progress.MayRetry(true) && now < j.request.Expires {
		visited := append(slices.Clip(j.visited), a.self)
		if next, ok := a.nextAgent(j.request, visited); ok && (a.Identity.disabled(RetryBudget) || a.retryBudget.Take()) {
			return a.retryOn(j, next, visited)
		}
	}
	if progress.NotRun() {
		return a.finishJob(now, j, wire.Answer{Outcome: wire.NotRun, Reason: "the backend server did not take the request"})
	}
	return a.finishJob(now, j, wire.Answer{Outcome: wire.Unknown, Reason: "the backend server did not answer"})
}

// retryOn sends every waiting copy of a job to another agent.
func (a *Agent) retryOn(j *job, next place.ID, visited []place.ID) []Action {
	a.counts.Retries++
	a.removeJob(j)
	var out []Action
	for _, w := range j.waiters {
		out = append(out, a.sendHandoff(next, wire.Handoff{Request: w.request, Visited: visited, Origin: a.originOf(w.request, w.origin)})...)
	}
	return out
}

// finishJob sends a job's final answer to its waiting copies. Non-idempotent jobs are
// kept for as long as a copy of the request may still arrive.
func (a *Agent) finishJob(now clock.Millis, j *job, answer wire.Answer) []Action {
	if !invar.Holds(j.state != jobEnded, "a job ends once") {
		return nil
	}
	j.state = jobEnded
	j.endedAt = now
	j.answer = answer
	if j.idempotent {
		a.removeJob(j)
	} else {
		delete(a.activeJobs, j.key)
		a.endedJobs = append(a.endedJobs, j)
	}
	var out []Action
	for _, w := range j.waiters {
		out = append(out, a.respond(now, w, answer)...)
	}
	j.waiters = nil
	return out
}

// respond answers one copy, through the agent that holds the caller's connection if
// there is one. It adds a retry delay to an answer without a result.
func (a *Agent) respond(now clock.Millis, w waiter, answer wire.Answer) []Action {
	a.countAnswer(now, w.request, answer)
	if answer.Outcome != wire.Done && answer.RetryAfterMs == 0 {
		answer.RetryAfterMs = retry.Backoff(a.Identity.Random, 0, retryAfterBase, retryAfterLimit)
	}
	if w.origin != 0 && w.origin != a.self {
		return []Action{{Control: &Control{w.origin, wire.Message{From: a.self, Handoff: &wire.Handoff{Request: w.request, Answer: &answer}}}}}
	}
	return []Action{{Respond: &Respond{w.request, answer}}}
}

func (a *Agent) countAnswer(now clock.Millis, request wire.Request, answer wire.Answer) {
	switch answer.Outcome {
	case wire.Done:
		a.counts.Answered++
		if now > request.Expires {
			a.counts.Late++
		}
	case wire.NotRun:
		a.counts.NotRun++
	case wire.Unknown:
		a.counts.Unknown++
	}
}

// configWaitLimit is how long after its start a job may still wait for the
// configuration that its homes have.
const configWaitLimit = 1 * clock.Second

// retryClaims claims again for the jobs whose homes had a newer configuration, once
// this agent has one too, and fails those that have waited too long.
func (a *Agent) retryClaims(now clock.Millis) []Action {
	var out []Action
	for _, j := range a.sortedActiveJobs() {
		switch {
		case j.state != jobAwaitingConfig:
		case a.config.Revision() > j.revision:
			out = append(out, a.claimJob(now, j)...)
		case now-j.startedAt > configWaitLimit || now >= j.request.Expires:
			a.counts.ClaimsFailed++
			out = append(out, a.failJob(now, j, wire.Answer{Outcome: wire.Unknown, Reason: "this agent's configuration is behind that of the request's homes"})...)
		}
	}
	return out
}

// expireJobs cancels running jobs past their deadline and removes ended jobs of which
// no copy can arrive any more.
func (a *Agent) expireJobs(now clock.Millis) []Action {
	var out []Action
	for _, j := range a.sortedActiveJobs() {
		if j.state == jobRunning && now >= j.request.Expires {
			delete(a.runningJobs, j.token)
			a.requestLimiter.Done(now, admit.Sample{Latency: now - j.startedAt, Shed: true})
			out = append(out, Action{Cancel: &Cancel{j.token}})
			out = append(out, a.finishJob(now, j, wire.Answer{Outcome: wire.Unknown, Reason: "the deadline passed while the request ran"})...)
		}
	}
	for len(a.endedJobs) > 0 && now-a.endedJobs[0].endedAt > a.validity()+2*a.skew() {
		delete(a.jobs, a.endedJobs[0].key)
		a.endedJobs = a.endedJobs[1:]
	}
	return out
}

// addJob records a new job.
func (a *Agent) addJob(j *job) {
	a.jobs[j.key] = j
	a.activeJobs[j.key] = j
}

// removeJob removes a job whose answer need not be kept.
func (a *Agent) removeJob(j *job) {
	delete(a.jobs, j.key)
	delete(a.activeJobs, j.key)
}

// sortedActiveJobs returns the active jobs sorted by key, so that the order of actions
// does not depend on map iteration and simulations can be repeated.
func (a *Agent) sortedActiveJobs() []*job {
	out := make([]*job, 0, len(a.activeJobs))
	for _, j := range a.activeJobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(x, y *job) int {
		if order := slices.Compare(x.key.id[:], y.key.id[:]); order != 0 {
			return order
		}
		return x.key.copy - y.key.copy
	})
	return out
}
