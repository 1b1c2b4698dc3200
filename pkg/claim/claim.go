// Package claim implements at-most-once execution of non-idempotent requests
// without a shared store. The identifier of a request is hashed to a home set: a
// few agents, the homes, that record which attempt may run the request. An agent
// runs a request only after a majority of each home set that currently applies has
// granted its attempt. Layouts lists these home sets, a Home decides on grant requests,
// and a Claimant collects the grants for the attempts of an agent.
//
// A request identifier is a UUIDv7. Its timestamp bounds how long a home must keep
// a grant: a home refuses identifiers whose timestamp is too old, lies in the
// future, or precedes the start of the home itself.
package claim

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"github.com/google/uuid"
)

//go:generate stringer -type=Outcome -output=outcome_string.go

// Outcome is a home's decision on a grant request.
type Outcome int

// Outcomes of a grant request.
const (
	Granted  Outcome = iota // the attempt holds this home's grant
	Held                    // another attempt holds this home's grant
	Expired                 // the identifier is older than the validity, or not a UUIDv7
	Early                   // the identifier's timestamp is ahead by more than the skew
	Unsure                  // the home may not grant now, or may have lost an earlier grant
	Outdated                // the requesting agent's configuration is too old
)

// Default timing.
const (
	DefaultValidity = 30 * clock.Second // how long after its timestamp an identifier is accepted
	DefaultSkew     = 2 * clock.Second  // tolerated difference between two clocks
	DefaultTimeout  = 500               // milliseconds for the homes to decide an attempt
)

// MaxHomeSets is the maximum number of home sets that an attempt may need.
const MaxHomeSets = 8

// Timestamp returns the timestamp of a request identifier. It reports false if the
// identifier is not a UUIDv7.
func Timestamp(id uuid.UUID) (clock.Millis, bool) {
	if id.Version() != 7 {
		return 0, false
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return clock.Millis(ms), true
}

// Attempt identifies one attempt to run a request. Identifiers are not reused.
type Attempt struct {
	Agent    place.ID `cbor:"1,keyasint"`
	Instance uint64   `cbor:"2,keyasint"` // random for each start of the agent
	Number   uint64   `cbor:"3,keyasint"` // counts the attempts of the instance, from 1
}

// GrantRequest asks a home to let an attempt run a request.
type GrantRequest struct {
	Request  uuid.UUID `cbor:"1,keyasint"`
	Attempt  Attempt   `cbor:"2,keyasint"`
	Revision uint64    `cbor:"3,keyasint"` // configuration revision of the requesting agent
}

// GrantReply is a home's answer to a grant request.
type GrantReply struct {
	Request uuid.UUID `cbor:"1,keyasint"`
	Attempt Attempt   `cbor:"2,keyasint"` // copied from the grant request
	Outcome Outcome   `cbor:"3,keyasint"`
	Holder  Attempt   `cbor:"4,keyasint"` // set if Outcome is Held
}

// Release informs a home that an attempt has not run its request and never will.
type Release struct {
	Request uuid.UUID `cbor:"1,keyasint"`
	Attempt Attempt   `cbor:"2,keyasint"`
}

// grantRecord is a home's record of the attempt that it granted a request to.
type grantRecord struct {
	holder    Attempt
	timestamp clock.Millis
}

// Home grants requests to attempts. Set the exported fields before the first
// call. It is not safe for concurrent use.
type Home struct {
	Validity clock.Millis // zero means DefaultValidity
	Skew     clock.Millis // zero means DefaultSkew

	// MayGrant reports whether the home may grant: its lease is valid and its clock is
	// within Skew/2 of its watchers' clocks. Therefore no identifier that an earlier
	// instance granted has a timestamp later than 2*Skew after this start, and Decide
	// refuses all earlier timestamps. Nil means that the home may always grant.
	MayGrant func(now clock.Millis) bool

	startedAt   clock.Millis // the home has a record of every grant since then
	hasStarted  bool
	minRevision uint64 // lowest configuration revision accepted from a requesting agent
	grants      map[uuid.UUID]grantRecord
	lastSweep   clock.Millis
}

// Start sets the time from which the home has a record of every grant.
func (h *Home) Start(now clock.Millis) {
	h.hasStarted = true
	h.startedAt = now
	h.grants = make(map[uuid.UUID]grantRecord)
}

// RequireRevision sets the lowest configuration revision accepted from a requesting agent:
// the revision that last changed the homes. It never lowers the value.
func (h *Home) RequireRevision(revision uint64) { h.minRevision = max(h.minRevision, revision) }

// Len returns the number of grants on record.
func (h *Home) Len() int { return len(h.grants) }

// Decide handles a grant request. A repeated request for the same attempt gets the
// same answer.
func (h *Home) Decide(now clock.Millis, request GrantRequest) GrantReply {
	reply := GrantReply{Request: request.Request, Attempt: request.Attempt}
	if existing, ok := h.grants[request.Request]; ok {
		if existing.holder != request.Attempt {
			reply.Outcome, reply.Holder = Held, existing.holder
		}
		return reply
	}
	timestamp, ok := Timestamp(request.Request)
	switch {
	case !h.hasStarted || h.MayGrant != nil && !h.MayGrant(now):
		reply.Outcome = Unsure
	case request.Revision < h.minRevision:
		reply.Outcome = Outdated
	case !ok || timestamp+h.validity() <= now:
		reply.Outcome = Expired
	case timestamp > now+h.skew():
		reply.Outcome = Early
	case timestamp <= h.startedAt+2*h.skew():
		reply.Outcome = Unsure
	default:
		h.grants[request.Request] = grantRecord{request.Attempt, timestamp}
	}
	return reply
}

// Release deletes the grant if the releasing attempt holds it.
func (h *Home) Release(release Release) {
	if h.grants[release.Request].holder == release.Attempt {
		delete(h.grants, release.Request)
	}
}

// Tick deletes grants whose identifiers no home accepts any more.
func (h *Home) Tick(now clock.Millis) {
	if now-h.lastSweep < clock.Second {
		return
	}
	h.lastSweep = now
	for id, record := range h.grants {
		if record.timestamp+h.validity()+2*h.skew() <= now {
			delete(h.grants, id)
		}
	}
}

func (h *Home) validity() clock.Millis { return h.Validity.Or(DefaultValidity) }
func (h *Home) skew() clock.Millis     { return h.Skew.Or(DefaultSkew) }

// HomeSets lists the home sets of a request, oldest first. A majority of each must
// grant an attempt.
type HomeSets [][]place.ID

// contains reports whether an equal set is present.
func (s HomeSets) contains(set []place.ID) bool {
	return slices.ContainsFunc(s, func(other []place.ID) bool { return slices.Equal(other, set) })
}
