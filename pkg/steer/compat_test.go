package steer_test

import (
	"encoding/hex"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// Hosts are replaced one after the other at an upgrade, so a balancer and an agent of
// different versions read each other's messages. A byte that changes its meaning would be
// misread without an error. New fields need a free bit or byte, and agents of earlier
// versions must not need them.
func TestMessagesKeepTheirEncoding(t *testing.T) {
	visited := steer.Message{VisitedCount: 1}
	visited.Visited[0] = 0x0a010203
	for _, row := range []struct {
		name    string
		message steer.Message
		encoded string
	}{
		{"offer", steer.Message{Kind: steer.OfferPacket, Reason: steer.NewFlow, LastOffer: true, NoOthers: true, State: steer.Leaving, Service: 0x01020304,
			Revision: 0x1122334455667788, ColdRate: 5, ColdLeft: 700, Goal: 200, Slots: 2, LeastBusy: place.ID(0x0a010205), LeastBusyLoad: 150,
			Key: key(1000), Priority: 2, TypicalTime: 40, TimeLimit: 1500, VisitedCount: 1, Visited: visited.Visited},
			"01014101010203041122334455667788000502bc00c800000002" + "00960a010205" + "64400007c612000103e801bb" + "00000001" + "00020a0f" + "0a010203"},
		{"question with a packet", steer.Message{Kind: steer.OfferPacket, Reason: steer.Searching, KnownOnly: true, PacketKept: true, State: steer.Unlisted, Service: 7, Key: key(1000)},
			"01030c02000000070000000000000000000000000000000000000000" + "00000000" + "64400007c612000103e801bb" + "00000000" + "00000000"},
		{"denial", steer.Message{Kind: steer.DenyPacket, Reason: steer.FlowUnknown, PacketKept: true, AgentStartMs: 0x0102030405060708, HasReport: true, Utilization: 90,
			ServiceTime: 16, Load: 3, Slots: 2, AnswersQueries: true, Key: key(1000)},
			"0208b800000000000102030405060708005a00100000000300020000" + "00000000" + "64400007c612000103e801bb" + "00000000" + "00000000"},
		{"reply to a ping", steer.Message{Kind: steer.Pong, AnswersQueries: true, Load: 1, Slots: 2, Key: key(1000)},
			"05008000000000000000000000000000000000000000000100020000" + "00000000" + "64400007c612000103e801bb" + "00000000" + "00000000"},
		{"ping", steer.Message{Kind: steer.Ping, StoreRevision: 0x1122334455667788, Key: key(1000)},
			"04000000000000001122334455667788000000000000000000000000" + "00000000" + "64400007c612000103e801bb" + "00000000" + "00000000"},
		{"denial that tells of a newer view", steer.Message{Kind: steer.DenyFlows, Reason: steer.FlowUnknown, State: steer.Leaving, AgentStartMs: 0x0102030405060708, StoreRevision: 0x1122334455667788, Slots: 2},
			"08081081000000000102030405060708000000000000000000020000" + "00000000" + "112233445566778800000000" + "00000000" + "00000000"},
	} {
		t.Run(row.name, func(t *testing.T) {
			encoded := make([]byte, row.message.Size())
			row.message.Encode(encoded)
			assert.Equal(t, hex.EncodeToString(encoded), row.encoded)
			var got steer.Message
			_, err := got.Decode(encoded)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, row.message)
		})
	}
	query := steer.FlowsMessage{Message: steer.Message{Kind: steer.QueryFlows, KnownOnly: true}, Flows: []steer.QueryFlow{{Key: key(1000), HasACK: true, Ack: 0x01020304}}}
	assert.Equal(t, hex.EncodeToString(query.Encode()[query.Message.Size():]), "64400007c612000103e801bb0102030401")
}
