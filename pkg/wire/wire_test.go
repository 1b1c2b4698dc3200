package wire_test

import (
	"fmt"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/member"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"gotest.tools/v3/assert"
)

func TestEnvelopeIsDistinguishedFromPacket(t *testing.T) {
	raw, err := wire.EncodeEnvelope(wire.Envelope{Balancer: 1, Visited: []place.ID{2, 3}, Hops: 2, Packet: []byte{0x45, 1}})
	assert.NilError(t, err)
	assert.Assert(t, wire.IsEnvelope(raw))
	assert.Assert(t, !wire.IsEnvelope([]byte{0x45}) && !wire.IsEnvelope([]byte{0x60}) && !wire.IsEnvelope(nil))
	envelope, err := wire.DecodeEnvelope(raw)
	assert.NilError(t, err)
	assert.DeepEqual(t, envelope.Visited, []place.ID{2, 3})
}

func TestInvalidMessagesAreErrors(t *testing.T) {
	_, err := wire.Decode([]byte("no message"))
	assert.ErrorContains(t, err, "decode control message")
	_, err = wire.Encode(wire.Message{Handoff: &wire.Handoff{Request: wire.Request{Params: make([]byte, wire.MaxBytes)}}})
	assert.ErrorContains(t, err, "at most 60000 are allowed")
}

func ExampleEncode() {
	raw, _ := wire.Encode(wire.Message{From: 7, Ack: &member.Ack{Sent: 1, Time: 2}})
	m, _ := wire.Decode(raw)
	fmt.Println(m.From, m.Ack.Time)
	// Output: 7 2ms
}

func FuzzDecode(f *testing.F) {
	for _, m := range []wire.Message{{}} {
		raw, err := wire.Encode(m)
		assert.NilError(f, err)
		f.Add(raw)
	}
	raw, err := wire.EncodeEnvelope(wire.Envelope{Balancer: 1, Packet: []byte("packet")})
	assert.NilError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if m, err := wire.Decode(raw); err == nil {
			if again, err := wire.Encode(m); err == nil {
				_, err = wire.Decode(again)
				assert.NilError(t, err)
			}
		}
		if wire.IsEnvelope(raw) {
			if e, err := wire.DecodeEnvelope(raw); err == nil {
				_, err = wire.EncodeEnvelope(e)
				assert.NilError(t, err)
			}
		}
	})
}
