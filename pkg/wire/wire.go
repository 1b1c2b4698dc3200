// Package wire defines the messages between the system's processes. They travel
// as CBOR in single UDP datagrams, because the control budget of a few kilobytes
// a second rules out text.
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

// MaxBytes bounds one message.
const MaxBytes = 60_000

// Message is one control message. Exactly one body is set.
type Message struct {
	From      place.ID            `cbor:"1,keyasint"`
	Heartbeat *member.Heartbeat   `cbor:"2,keyasint,omitempty"`
	Ack       *member.Ack         `cbor:"3,keyasint,omitempty"`
	Gossip    *member.Gossip      `cbor:"4,keyasint,omitempty"`
	Digest    *spread.Digest      `cbor:"5,keyasint,omitempty"`
	Ask       *claim.GrantRequest `cbor:"6,keyasint,omitempty"`
	Reply     *claim.GrantReply   `cbor:"7,keyasint,omitempty"`
	Release   *claim.Release      `cbor:"8,keyasint,omitempty"`
	Hint      *Hint               `cbor:"9,keyasint,omitempty"`
	Handoff   *Handoff            `cbor:"10,keyasint,omitempty"`
	Load      *share.Report       `cbor:"11,keyasint,omitempty"`
}

// Hint tells a balancer which agent owns a flow.
type Hint struct {
	Hash  uint64   `cbor:"1,keyasint"` // of the flow's key
	Owner place.ID `cbor:"2,keyasint"` // 0 if the flow has ended
}

// Request is a caller's request that ends at an agent.
type Request struct {
	ID      uuid.UUID    `cbor:"1,keyasint"`
	Copy    int          `cbor:"2,keyasint"` // counts the caller's sends, from 0
	Method  string       `cbor:"3,keyasint"`
	Params  []byte       `cbor:"4,keyasint"` // JSON
	Expires clock.Millis `cbor:"5,keyasint"` // instant after which no answer is wanted
	Caller  flow.Key     `cbor:"6,keyasint"` // the packet that brought it
	Local   uint64       `cbor:"7,keyasint"` // driver's handle of a request by HTTP; 0 otherwise
}

// Handoff passes a request to another agent.
type Handoff struct {
	Request Request        `cbor:"1,keyasint"`
	Visited []place.ID     `cbor:"2,keyasint,omitempty"` // agents that did not take it
	Holder  *claim.Attempt `cbor:"3,keyasint,omitempty"` // attempt to ask for the answer
	Origin  place.ID       `cbor:"4,keyasint,omitempty"` // agent that holds the caller's connection, for requests by HTTP
	Answer  *Answer        `cbor:"5,keyasint,omitempty"` // set on the way back to Origin
}

// Answer is the end of a request.
type Answer struct {
	Outcome      Outcome      `cbor:"1,keyasint"`
	Result       []byte       `cbor:"2,keyasint,omitempty"` // JSON, if Outcome is Done
	RetryAfterMs clock.Millis `cbor:"3,keyasint,omitempty"` // when to come back, unless Outcome is Done
	Reason       string       `cbor:"4,keyasint,omitempty"`
}

//go:generate stringer -type=Outcome -output=outcome_string.go

// Outcome says what became of a request.
type Outcome int

// Outcomes of a request.
const (
	Done    Outcome = iota // it ran, and Result is the whole answer
	NotRun                 // it was not run and never will be
	Unknown                // it may have run, or may be running
)

// Walk is the envelope of a packet that one agent passes to another. Its first
// byte is a CBOR array header, which no IP packet starts with.
type Walk struct {
	_        struct{}   `cbor:",toarray"`
	Balancer place.ID   // where the packet entered
	Visited  []place.ID // agents that do not hold its flow
	Hops     int
	Skipped  bool
	Round    flow.Round
	Packet   []byte
}

// Encode writes a message.
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

// Decode reads a message.
func Decode(raw []byte) (Message, error) {
	var m Message
	err := cbor.Unmarshal(raw, &m)
	return m, errors.Wrap(err, "decode control message")
}

// EncodeWalk writes an envelope.
func EncodeWalk(w Walk) ([]byte, error) {
	raw, err := cbor.Marshal(w)
	return raw, errors.Wrap(err, "encode packet envelope")
}

// IsWalk reports whether a datagram holds an envelope rather than a packet.
func IsWalk(raw []byte) bool { return len(raw) > 0 && raw[0]>>5 == 4 }

// DecodeWalk reads an envelope.
func DecodeWalk(raw []byte) (Walk, error) {
	var w Walk
	err := cbor.Unmarshal(raw, &w)
	return w, errors.Wrap(err, "decode packet envelope")
}
