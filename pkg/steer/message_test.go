package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		small := rapid.IntRange(0, 1<<16-1)
		m := steer.Message{
			Kind: steer.MessageKind(rapid.IntRange(1, 8).Draw(t, "kind")), Reason: steer.Reason(rapid.IntRange(0, 20).Draw(t, "reason")),
			LastOffer: rapid.Bool().Draw(t, "final"), Inconclusive: rapid.Bool().Draw(t, "unsure"), KnownOnly: rapid.Bool().Draw(t, "known"), PacketKept: rapid.Bool().Draw(t, "kept"),
			State: steer.ServerState(rapid.IntRange(0, 2).Draw(t, "state")), Service: steer.ServiceID(rapid.Uint32().Draw(t, "service")),
			Revision: rapid.Uint64().Draw(t, "revision"), ColdRate: small.Draw(t, "rate"), ColdLeft: clock.Millis(small.Draw(t, "left")),
			Goal: clock.Millis(small.Draw(t, "goal")), Priority: small.Draw(t, "priority"), Load: small.Draw(t, "load"),
			Slots: small.Draw(t, "slots"), LeastBusy: place.ID(rapid.Uint32().Draw(t, "best")), LeastBusyLoad: small.Draw(t, "bestLoad"),
			Key: key(small.Draw(t, "port")), VisitedCount: rapid.IntRange(0, steer.MaxVisited).Draw(t, "count"),
		}
		m.TypicalTime, m.TimeLimit = 4*clock.Millis(rapid.IntRange(0, 255).Draw(t, "typical")), 100*clock.Millis(rapid.IntRange(0, 255).Draw(t, "limit"))
		fromAgent := m.Kind == steer.DenyPacket || m.Kind == steer.HoldFlow || m.Kind == steer.Pong || m.Kind == steer.DenyFlows
		m.AnswersQueries = fromAgent && rapid.Bool().Draw(t, "answers")
		if fromAgent && rapid.Bool().Draw(t, "report") {
			m.HasReport, m.Utilization, m.ServiceTime = true, small.Draw(t, "used"), clock.Millis(small.Draw(t, "took"))
			m.ColdRate, m.ColdLeft = 0, 0 // the report is sent in their place
		}
		switch {
		case m.Kind == steer.Ping:
			m.StoreRevision, m.Revision = m.Revision, 0 // sent in its place
		case m.Kind == steer.DenyFlows, m.Kind == steer.DenyPacket && !m.PacketKept:
			if m.StoreRevision = rapid.Uint64().Draw(t, "storeRevision"); m.StoreRevision != 0 {
				m.Key = flow.Key{} // sent in its place
			}
		}
		if m.Kind == steer.Ping {
			m.AgentStartMs = 0
		} else if m.AgentStartMs = rapid.Int64Range(0, 1<<50).Draw(t, "start"); m.AgentStartMs != 0 {
			m.Revision = 0 // sent in its place
		}
		for i := range m.Visited[:m.VisitedCount] {
			m.Visited[i] = rapid.Uint32().Draw(t, "visited")
		}
		encoded := append(make([]byte, m.Size()), "packet"...)
		m.Encode(encoded)
		var got steer.Message
		rest, err := got.Decode(encoded)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "packet")
		assert.DeepEqual(t, got, m)
	})
}

// A denied packet is offered again with the message of its denial. If the agent's report
// went with it, the next agent would take it for the limits of a cold server.
func TestOfferCarriesNoReport(t *testing.T) {
	m := steer.Message{Kind: steer.OfferPacket, HasReport: true, Utilization: 90, ServiceTime: 40, ColdRate: 5, ColdLeft: 700, TimeLimit: 26 * clock.Second}
	encoded := make([]byte, m.Size())
	m.Encode(encoded)
	var got steer.Message
	_, err := got.Decode(encoded)
	assert.NilError(t, err)
	assert.Assert(t, !got.HasReport)
	assert.Equal(t, got.ColdRate, 5)
	assert.Equal(t, got.ColdLeft, clock.Millis(700))
	assert.Equal(t, got.TimeLimit, 25_500*clock.Millis(1)) // the largest that one byte holds
}

func FuzzMessageDecode(f *testing.F) {
	m := steer.Message{Kind: steer.OfferPacket, VisitedCount: 2}
	encoded := make([]byte, m.Size())
	m.Encode(encoded)
	f.Add(encoded)
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var got steer.Message
		rest, err := got.Decode(b)
		if err == nil && len(rest) != len(b)-got.Size() {
			t.Fatalf("%d bytes left of %d", len(rest), len(b))
		}
	})
}
