// Package node joins the coordination parts into the two processes of the
// system, the balancer and the agent. Both are driven by an instant and one
// event at a time and return typed actions; they hold no goroutine, socket,
// clock or random source of their own, so any bench can drive them.
package node

import (
	"encoding/json"
	"math/rand/v2"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"dogwoodlanding.example/dogwood/pkg/wire"
)

// Identity is what a process knows of itself from its settings.
type Identity struct {
	Name       string // as declared in the configuration
	DataCentre string
	Instance   uint64     // grows with each start of the process
	Seeds      []place.ID // neighbours to ask before a configuration is known
	Random     *rand.Rand
	Timing     Timing
	Without    []Mechanism // switched off, for experiments that show what each is for
}

//go:generate stringer -type=Mechanism -output=mechanism_string.go

// Mechanism is a rule that can be switched off in experiments. Settings files
// cannot reach it.
type Mechanism int

// Mechanisms.
const (
	WalkToOwner     Mechanism = iota // an agent passes packets of flows it does not hold
	RebuildTable                     // a new agent reads its server's connection table first
	DeclineMemory                    // a declined first packet stays declined
	PriorTables                      // a newcomer defers to the order that others still use
	HoldFreshLease                   // a process admits only after its lease has lasted
	ServiceCheck                     // an agent drops packets of other services
	OutDrop                          // an agent whose data centre is out drops packets
	ColdStart                        // a new server instance resets the limits
	ClaimedRefusal                   // a refusal of a non-idempotent request is claimed first
	MajorityOfHomes                  // more than half of the homes must grant
	HomeStart                        // a home refuses identifiers older than itself
	OldHomes                         // replaced home sets must grant too
	SettledHomes                     // a new agent claims only if it cannot have missed a home set
	DrainLeaving                     // a leaving server takes no new work
	StartupWait                      // a new process asks neighbours before it serves
	RetryBudget                      // retries are a share of successes
	EvenShare                        // a server with more than its share passes new flows on
)

// disabled reports whether a mechanism is switched off.
func (i Identity) disabled(m Mechanism) bool { return slices.Contains(i.Without, m) }

// ID identifies the process to the others.
func (i Identity) ID() place.ID { return place.IDOf(i.Name) }

// Timing holds the intervals of a process. Zero fields take the defaults of the
// parts they belong to.
type Timing struct {
	Heartbeat   clock.Millis
	Lease       clock.Millis
	Silence     clock.Millis
	Hold        clock.Millis // time a fresh lease must last before flows are admitted
	Interval    clock.Millis // between digests of the configuration
	Epoch       clock.Millis // between changes of the platform's readers
	StartupWait clock.Millis
	Validity    clock.Millis // of request identifiers
	Skew        clock.Millis // tolerated between clocks
	Claim       clock.Millis // for homes to answer
}

// DefaultHold covers the spread of a configuration change.
const DefaultHold = 10 * clock.Second

func (t Timing) maxPropagation() clock.Millis { return t.Hold.Or(DefaultHold) }

// Action is what a driver must do. Exactly one field is set.
type Action struct {
	Control  *Control
	Forward  *Forward
	ToServer []byte // packet for the local server
	ToCaller []byte // packet for the caller it is addressed to
	Respond  *Respond
	Run      *Run
	Cancel   *Cancel
	Fetch    *spread.Fetch
	Poll     *spread.Poll
	Activate *spread.Activation
}

// Control sends a control message to a process.
type Control struct {
	To      place.ID
	Message wire.Message
}

// Forward sends a packet, bare or in an envelope, to an agent.
type Forward struct {
	To       place.ID
	Datagram []byte
}

// Respond gives a request its final answer.
type Respond struct {
	Request wire.Request
	Answer  wire.Answer
}

// Run starts a request on the local server.
type Run struct {
	Token   uint64
	Request wire.Request
}

// Cancel tells the local server that a request's answer is no longer wanted.
type Cancel struct {
	Token uint64
}

// ServerAnswer is what the local server said to a run.
type ServerAnswer struct {
	Kind     AnswerKind
	Result   json.RawMessage // if Kind is Ran
	Instance string          // the server's instance, if it said so
	Latency  clock.Millis
}

//go:generate stringer -type=AnswerKind -output=answerkind_string.go

// AnswerKind says what became of a run.
type AnswerKind int

// Kinds of server answers.
const (
	Ran    AnswerKind = iota // it ran and answered
	Shed                     // the server refused it and did not run it
	Lost                     // no answer: it may have run
	Unsent                   // the server could not be reached at all
)
