// Package node combines the coordination packages into the decision logic of the two
// processes of the system. A Balancer chooses the agent that each packet is forwarded
// to. An Agent decides which flows and requests its backend server takes. Both share
// group membership (package member) and configuration distribution (package spread).
//
// Each call passes the present time and at most one event, and most calls return
// actions that the caller must perform. The package has no goroutines, sockets, clock
// or random source of its own, so a simulation can drive it as well as a real process.
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

// Identity holds what a process's settings say about the process.
type Identity struct {
	Name       string // as declared in the configuration
	DataCentre string
	Instance   uint64     // greater after each start of the process
	Seeds      []place.ID // processes to ask while there is no configuration
	Random     *rand.Rand
	Timing     Timing
	Disabled   []Mechanism // for experiments that show what each is needed for
}

//go:generate stringer -type=Mechanism -linecomment -output=mechanism_string.go

// Mechanism is a rule that can be disabled in experiments. Settings files cannot
// disable it.
type Mechanism int

// Mechanisms.
const (
	// An agent forwards packets of flows that its server does not hold.
	ForwardToOwner Mechanism = iota // WalkToOwner
	// A new agent first reads its server's connection table.
	RebuildTable // RebuildTable
	// A declined first packet stays declined when it is repeated.
	RememberDeclines // DeclineMemory
	// Admission also respects the order of replaced placement tables.
	PriorTables // PriorTables
	// Flows are admitted only once the lease has lasted for a minimum time.
	MinLeaseAge // HoldFreshLease
	// An agent drops packets of other services.
	ServiceCheck // ServiceCheck
	// An agent whose data centre is out drops packets.
	DropWhenOut // OutDrop
	// A new server instance resets the admission limits.
	ColdStart // ColdStart
	// A non-idempotent request is claimed before it is refused.
	ClaimedRefusal // ClaimedRefusal
	// More than half of the homes in a set must grant a claim.
	MajorityOfHomes // MajorityOfHomes
	// A home refuses identifiers made before its own start.
	HomeStart // HomeStart
	// Replaced home sets must grant a claim too.
	OldHomes // OldHomes
	// A new agent claims only if it has a record of every home set in use.
	KnownHomeSets // SettledHomes
	// A leaving or draining server takes no new work.
	DrainLeaving // DrainLeaving
	// A new process waits for neighbours' digests before it serves.
	StartupWait // StartupWait
	// Retries are limited to a share of the successes.
	RetryBudget // RetryBudget
	// An agent whose server is above its share forwards new flows to other agents.
	EvenShare // EvenShare
)

// disabled reports whether a mechanism is disabled.
func (i Identity) disabled(m Mechanism) bool { return slices.Contains(i.Disabled, m) }

// ID returns the identifier that the other processes derive from the same name.
func (i Identity) ID() place.ID { return place.IDOf(i.Name) }

// Timing holds the intervals of a process. Zero fields take the defaults of the
// packages that use them.
type Timing struct {
	HeartbeatInterval clock.Millis // between heartbeats
	LeaseDuration     clock.Millis // counted from the sending of the acknowledged heartbeat
	SilenceTimeout    clock.Millis // without heartbeats before a watcher votes a process silent
	MaxPropagation    clock.Millis // for a configuration change to reach all processes
	DigestInterval    clock.Millis // between configuration digests
	ReaderEpoch       clock.Millis // between new choices of the processes that poll the platform
	StartupWait       clock.Millis // for neighbours' digests before a new process serves
	RequestIDValidity clock.Millis // of request identifiers
	MaxClockSkew      clock.Millis // tolerated between clocks
	ClaimTimeout      clock.Millis // for homes to answer a claim
}

// DefaultMaxPropagation covers the time that a configuration change takes to reach all
// processes. A lease must have lasted this long before flows are admitted, and replaced
// placements and homes count for at least this long.
const DefaultMaxPropagation = 10 * clock.Second

func (t Timing) maxPropagation() clock.Millis { return t.MaxPropagation.Or(DefaultMaxPropagation) }

// Action is what the caller of a Balancer or Agent must do. Exactly one field is set.
type Action struct {
	Control  *Control
	Forward  *Forward
	ToServer []byte // raw packet to deliver to the local server
	ToCaller []byte // raw packet to send to the caller that it is addressed to
	Respond  *Respond
	Run      *Run
	Cancel   *Cancel
	Fetch    *spread.Fetch
	Poll     *spread.Poll
	Activate *spread.Activation // a configuration has come into force; the caller only reports it
}

// Control is the action to send a control message to a process.
type Control struct {
	To      place.ID
	Message wire.Message
}

// Forward is the action to send a datagram to an agent: a raw packet, or one in the
// envelope that wire.EncodeEnvelope writes.
type Forward struct {
	To       place.ID
	Datagram []byte
}

// Respond is the action to send a caller the final answer to a request.
type Respond struct {
	Request wire.Request
	Answer  wire.Answer
}

// Run is the action to run a request on the local server. The server's answer is
// passed back to the agent with the token.
type Run struct {
	Token   uint64
	Request wire.Request
}

// Cancel is the action to cancel a run whose answer is no longer wanted.
type Cancel struct {
	Token uint64
}

// ServerAnswer is the local server's answer to a run.
type ServerAnswer struct {
	Kind     AnswerKind
	Result   json.RawMessage // if Kind is Ran
	Instance string          // of the server, empty if not known
	Latency  clock.Millis
}

//go:generate stringer -type=AnswerKind -output=answerkind_string.go

// AnswerKind is the outcome of a run.
type AnswerKind int

// Kinds of server answers.
const (
	Ran    AnswerKind = iota // the request ran, and Result holds its result
	Shed                     // the server refused the request and did not run it
	Lost                     // no answer: the request may have run
	Unsent                   // the server could not be reached, so the request did not run
)
