package claim

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/invar"
	"dogwoodlanding.example/dogwood/pkg/place"
	"github.com/google/uuid"
)

//go:generate stringer -type=Verdict -output=verdict_string.go

// Verdict is the result of an attempt. Only an attempt that won may run its request.
type Verdict int

// Verdicts.
const (
	Won    Verdict = iota // the attempt may run the request, once
	Lost                  // another attempt holds the request
	Failed                // the homes did not decide in time or could not decide
	Stale                 // the identifier is outside its validity
	Behind                // the requesting agent's configuration is too old
)

// Action is an operation that the caller must carry out for a claimant. Exactly one
// field is set.
type Action struct {
	GrantRequest *SendGrantRequest
	Release      *SendRelease
	Done         *Done
}

// SendGrantRequest delivers a grant request to a home.
type SendGrantRequest struct {
	To      place.ID
	Request GrantRequest
}

// SendRelease delivers a release to a home.
type SendRelease struct {
	To      place.ID
	Release Release
}

// Done reports the result of an attempt.
type Done struct {
	Request uuid.UUID
	Attempt Attempt
	Verdict Verdict
	Holder  Attempt // set if Verdict is Lost
}

// pendingAttempt is an attempt that has no verdict yet.
type pendingAttempt struct {
	attempt      Attempt
	grantRequest GrantRequest
	homeSets     HomeSets // asked in this order, so that concurrent attempts compete at the oldest
	setsAsked    int      // number of home sets asked so far
	startTime    clock.Millis
	replies      map[place.ID]GrantReply
}

// Claimant runs the attempts of one agent: it collects grants from the homes of each
// request and decides when the agent may run it. Set the exported fields before the
// first call. It is not safe for concurrent use.
type Claimant struct {
	Self           place.ID
	Instance       uint64
	Timeout        clock.Millis // zero means DefaultTimeout
	OneGrantPerSet bool         // one grant of each home set suffices; for experiments only

	lastNumber uint64 // Number of the last attempt
	pending    map[uuid.UUID]*pendingAttempt
}

// Begin starts an attempt to run a request. Revision is the agent's configuration
// revision. The caller must not start a second attempt for a request while one is
// pending.
func (c *Claimant) Begin(now clock.Millis, request uuid.UUID, revision uint64, sets HomeSets) (Attempt, []Action) {
	if c.pending == nil {
		c.pending = make(map[uuid.UUID]*pendingAttempt)
	}
	if !invar.Holds(c.pending[request] == nil, "an agent has one attempt at a time for a request") {
		return Attempt{}, nil
	}
	c.lastNumber++
	attempt := Attempt{c.Self, c.Instance, c.lastNumber}
	p := &pendingAttempt{attempt: attempt, grantRequest: GrantRequest{request, attempt, revision}, homeSets: sets, startTime: now, replies: make(map[place.ID]GrantReply)}
	c.pending[request] = p
	return attempt, c.askNextSet(request, p)
}

// askNextSet sends grant requests to the next home set, skipping each set of which a
// majority has already granted the attempt as homes of earlier sets. If no set is left,
// the attempt has won.
func (c *Claimant) askNextSet(request uuid.UUID, p *pendingAttempt) []Action {
	for p.setsAsked < len(p.homeSets) {
		var out []Action
		for _, home := range p.homeSets[p.setsAsked] {
			if !slices.Contains(p.askedHomes(), home) {
				out = append(out, Action{GrantRequest: &SendGrantRequest{home, p.grantRequest}})
			}
		}
		p.setsAsked++
		if !p.granted(c.OneGrantPerSet) {
			return out
		}
	}
	if len(p.homeSets) == 0 {
		return c.finish(request, p, Failed, Attempt{})
	}
	return c.finish(request, p, Won, Attempt{})
}

// askedHomes returns the distinct homes of the sets asked so far.
func (p *pendingAttempt) askedHomes() []place.ID {
	var out []place.ID
	for _, set := range p.homeSets[:p.setsAsked] {
		for _, home := range set {
			if !slices.Contains(out, home) {
				out = append(out, home)
			}
		}
	}
	return out
}

// HandleReply handles a home's reply. It ignores replies to attempts that have ended.
func (c *Claimant) HandleReply(now clock.Millis, from place.ID, reply GrantReply) []Action {
	p := c.pending[reply.Request]
	if p == nil || p.attempt != reply.Attempt || !slices.Contains(p.askedHomes(), from) {
		return nil
	}
	if now-p.startTime > c.timeout() {
		return c.finish(reply.Request, p, Failed, Attempt{})
	}
	p.replies[from] = reply
	if p.granted(c.OneGrantPerSet) {
		return c.askNextSet(reply.Request, p)
	}
	verdict, holder, impossible := p.cannotWin()
	if !impossible || verdict == Lost && p.wonOldestSet() {
		return nil
	}
	return c.finish(reply.Request, p, verdict, holder)
}

// granted reports whether a majority of each set asked so far granted the attempt.
func (p *pendingAttempt) granted(oneGrantPerSet bool) bool {
	for _, set := range p.homeSets[:p.setsAsked] {
		needed := len(set)/2 + 1
		if oneGrantPerSet {
			needed = 1
		}
		if p.countReplies(set, Granted) < needed {
			return false
		}
	}
	return true
}

func (p *pendingAttempt) countReplies(set []place.ID, outcome Outcome) int {
	count := 0
	for _, home := range set {
		if reply, ok := p.replies[home]; ok && reply.Outcome == outcome {
			count++
		}
	}
	return count
}

// wonOldestSet reports whether the oldest home set granted the attempt. Every
// competing attempt that needs this set loses there and releases its grants in the
// other sets, so this attempt requests those grants again instead of giving up.
func (p *pendingAttempt) wonOldestSet() bool { return p.setsAsked > 1 }

// retryHeld repeats the grant request to each home that last answered Held.
func (p *pendingAttempt) retryHeld() []Action {
	if !p.wonOldestSet() {
		return nil
	}
	var out []Action
	for _, home := range p.askedHomes() {
		if reply, ok := p.replies[home]; ok && reply.Outcome == Held {
			out = append(out, Action{GrantRequest: &SendGrantRequest{home, p.grantRequest}})
		}
	}
	return out
}

// cannotWin reports whether some set asked so far can no longer reach a majority,
// and if so the verdict and the holder.
func (p *pendingAttempt) cannotWin() (Verdict, Attempt, bool) {
	for _, set := range p.homeSets[:p.setsAsked] {
		refusals := 0
		for _, home := range set {
			if reply, ok := p.replies[home]; ok && reply.Outcome != Granted {
				refusals++
			}
		}
		if len(set)-refusals > len(set)/2 {
			continue
		}
		return p.verdictOfRefusals()
	}
	return 0, Attempt{}, false
}

// verdictOfRefusals derives the verdict from the refusals: that of the first home that
// answered Held or Outdated, otherwise Stale if a home rejected the identifier,
// otherwise Failed.
func (p *pendingAttempt) verdictOfRefusals() (Verdict, Attempt, bool) {
	verdict := Failed
	for _, home := range p.askedHomes() {
		switch p.replies[home].Outcome {
		case Held:
			return Lost, p.replies[home].Holder, true
		case Expired, Early:
			verdict = Stale
		case Outdated:
			return Behind, Attempt{}, true
		}
	}
	return verdict, Attempt{}, true
}

// finish ends an attempt. Unless the attempt won, it releases the grants, which is
// safe because an attempt that ended without winning never runs.
func (c *Claimant) finish(request uuid.UUID, p *pendingAttempt, verdict Verdict, holder Attempt) []Action {
	delete(c.pending, request)
	var out []Action
	if verdict != Won {
		for _, home := range p.askedHomes() {
			out = append(out, Action{Release: &SendRelease{home, Release{request, p.attempt}}})
		}
	}
	return append(out, Action{Done: &Done{request, p.attempt, verdict, holder}})
}

// Tick repeats grant requests to homes whose grant another attempt may have released
// since, and ends the attempts that have timed out.
func (c *Claimant) Tick(now clock.Millis) []Action {
	var out []Action
	for _, request := range c.pendingRequests() {
		out = append(out, c.pending[request].retryHeld()...)
	}
	for _, request := range c.timedOut(now) {
		p := c.pending[request]
		verdict, holder := Failed, Attempt{}
		for _, home := range p.askedHomes() {
			if reply, ok := p.replies[home]; ok && reply.Outcome == Held {
				verdict, holder = Lost, reply.Holder
			}
		}
		out = append(out, c.finish(request, p, verdict, holder)...)
	}
	return out
}

// pendingRequests returns the requests with a pending attempt, in a fixed order so
// that runs are reproducible.
func (c *Claimant) pendingRequests() []uuid.UUID {
	out := make([]uuid.UUID, 0, len(c.pending))
	for request := range c.pending {
		out = append(out, request)
	}
	slices.SortFunc(out, func(a, b uuid.UUID) int { return slices.Compare(a[:], b[:]) })
	return out
}

// timedOut returns the requests whose attempt has been pending for too long.
func (c *Claimant) timedOut(now clock.Millis) []uuid.UUID {
	return slices.DeleteFunc(c.pendingRequests(), func(request uuid.UUID) bool {
		return now-c.pending[request].startTime <= c.timeout()
	})
}

// PendingCount returns the number of pending attempts.
func (c *Claimant) PendingCount() int { return len(c.pending) }

func (c *Claimant) timeout() clock.Millis { return c.Timeout.Or(DefaultTimeout) }
