// Package wire defines the messages that balancers and agents exchange: Message for
// control, and Envelope for packets that one agent forwards to another. Each is encoded
// as CBOR in one UDP datagram, because the bandwidth budget of a few kilobytes per
// second for control traffic rules out text formats.
package wire

import (
	"dogwoodlanding.example/dogwood/pkg/claim"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/member"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/share"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// MaxBytes is the maximum size of an encoded control message.
const MaxBytes = 60_000

// Message is a control message. Besides From exactly one field is set.
type Message struct {
	From         place.ID            `cbor:"1,keyasint"`
	Heartbeat    *member.Heartbeat   `cbor:"2,keyasint,omitempty"`
	Ack          *member.Ack         `cbor:"3,keyasint,omitempty"`
	Gossip       *member.Gossip      `cbor:"4,keyasint,omitempty"`
	Digest       *spread.Digest      `cbor:"5,keyasint,omitempty"`
	GrantRequest *claim.GrantRequest `cbor:"6,keyasint,omitempty"`
	GrantReply   *claim.GrantReply   `cbor:"7,keyasint,omitempty"`
	Release      *claim.Release      `cbor:"8,keyasint,omitempty"`
	Hint         *Hint               `cbor:"9,keyasint,omitempty"`
	Handoff      *Handoff            `cbor:"10,keyasint,omitempty"`
	LoadReport   *share.Report       `cbor:"11,keyasint,omitempty"`
}

// Hint informs a balancer which agent owns a flow.
type Hint struct {
	Hash  uint64   `cbor:"1,keyasint"` // hash of the flow's key
	Owner place.ID `cbor:"2,keyasint"` // 0 if the flow has ended
}

// Request is a request that an agent received from a caller.
type Request struct {
	ID         uuid.UUID    `cbor:"1,keyasint"`
	Copy       int          `cbor:"2,keyasint"` // index of this send among the caller's sends of the request, from 0
	Method     string       `cbor:"3,keyasint"`
	Params     []byte       `cbor:"4,keyasint"` // JSON
	Expires    clock.Millis `cbor:"5,keyasint"` // deadline, after which the caller ignores an answer
	Caller     flow.Key     `cbor:"6,keyasint"` // flow key of the packet that carried it
	HTTPHandle uint64       `cbor:"7,keyasint"` // agent's handle of a request by HTTP; 0 otherwise
}

// Handoff passes a request, or the answer to one, to another agent.
type Handoff struct {
	Request Request        `cbor:"1,keyasint"`
	Visited []place.ID     `cbor:"2,keyasint,omitempty"` // agents that did not accept it
	Holder  *claim.Attempt `cbor:"3,keyasint,omitempty"` // attempt whose answer is wanted
	Origin  place.ID       `cbor:"4,keyasint,omitempty"` // agent with the caller's HTTP connection
	Answer  *Answer        `cbor:"5,keyasint,omitempty"` // set on the way back to Origin
}

// Answer is the final response to a request.
type Answer struct {
	Outcome      Outcome      `cbor:"1,keyasint"`
	Result       []byte       `cbor:"2,keyasint,omitempty"` // JSON, if Outcome is Done
	RetryAfterMs clock.Millis `cbor:"3,keyasint,omitempty"` // delay before a retry, unless Outcome is Done
	Reason       string       `cbor:"4,keyasint,omitempty"` // cause, unless Outcome is Done
}

//go:generate stringer -type=Outcome -output=outcome_string.go

// Outcome is the result of a request.
type Outcome int

// Outcomes of a request.
const (
	Done    Outcome = iota // the request ran, and Result is the whole answer
	NotRun                 // the request has not run and never will
	Unknown                // the request may have run or may be running
)

// Envelope is the form in which one agent forwards a packet to another. It is encoded
// as a CBOR array, whose first byte differs from that of every IP packet.
type Envelope struct {
	_        struct{}   `cbor:",toarray"`
	Balancer place.ID   // balancer that received the packet
	Visited  []place.ID // agents that do not hold its flow
	Hops     int        // number of forwards, counted anew in the final round
	Skipped  bool       // an agent was skipped: it was unreachable, or the hop limit was reached
	Round    flow.Round
	Packet   []byte // the IP packet
}

// Encode encodes a message. It fails if the result exceeds MaxBytes.
func Encode(m Message) ([]byte, error) {
	raw, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode control message")
	}
	if len(raw) > MaxBytes {
		return nil, errors.Newf("control message has %d bytes; at most %d are allowed", len(raw), MaxBytes)
	}
	return raw, nil
}

// Decode decodes a message.
func Decode(raw []byte) (Message, error) {
	var m Message
	err := cbor.Unmarshal(raw, &m)
	return m, errors.Wrap(err, "decode control message")
}

// EncodeEnvelope encodes an envelope.
func EncodeEnvelope(e Envelope) ([]byte, error) {
	raw, err := cbor.Marshal(e)
	return raw, errors.Wrap(err, "encode packet envelope")
}

// IsEnvelope reports whether a datagram contains an envelope: whether its CBOR major type
// is an array.
func IsEnvelope(raw []byte) bool { return len(raw) > 0 && raw[0]>>5 == 4 }

// DecodeEnvelope decodes an envelope.
func DecodeEnvelope(raw []byte) (Envelope, error) {
	var e Envelope
	err := cbor.Unmarshal(raw, &e)
	return e, errors.Wrap(err, "decode packet envelope")
}
