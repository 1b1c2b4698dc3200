package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/steer"
)

// Whatever message a process receives, from whatever address and with whatever packet, it
// goes on deciding, and a flow that is open keeps its server.
func FuzzMessagesFromAnyone(f *testing.F) {
	m := steer.Message{Kind: steer.DenyPacket, Reason: steer.NotHeld, PacketKept: true, Key: key(1000)}
	encoded := make([]byte, m.Size())
	m.Encode(encoded)
	f.Add(encoded, uint64(7), byte(0), uint32(2))
	m = steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), State: steer.Leaving, Revision: 1 << 60, VisitedCount: 96}
	encoded = make([]byte, m.Size())
	m.Encode(encoded)
	f.Add(encoded, uint64(7), byte(1), uint32(2))
	query := steer.FlowsMessage{Message: steer.Message{Kind: steer.DenyFlows, Reason: steer.NotHeld}, Flows: []steer.QueryFlow{{Key: key(1000), HasACK: true}}}
	f.Add(query.Encode(), uint64(7), byte(0), uint32(2))
	f.Fuzz(func(t *testing.T, raw []byte, from uint64, flags byte, ack uint32) {
		c := newCluster(t, 5, 1)
		b := c.balancers[0]
		for _, h := range c.hosts {
			h.agent.AllWork = ack%2 == 0
		}
		owner := c.open(b, 1000)
		var m steer.Message
		rest, err := m.Decode(raw)
		if err != nil {
			return
		}
		if flows, err := steer.DecodeFlows(rest); err == nil {
			query := m
			b.DeniedFlows(c.now, place.ID(from), &query, flows)
			owner.agent.AnswerQuery(c.now, &steer.Message{Kind: steer.QueryFlows, Service: m.Service, KnownOnly: m.KnownOnly}, flows)
		}
		p := steer.Packet{Key: key(1001), SYN: flags&1 != 0, HasACK: flags&2 != 0, FIN: flags&4 != 0, RST: flags&8 != 0, Returned: flags&16 != 0, Copy: int(flags >> 6), Ack: ack, Bytes: int(ack % 1200)}
		sender := place.ID(from)
		message := m
		switch {
		case m.Kind == steer.DenyPacket && m.PacketKept:
			b.DeniedKept(c.now, sender, &message)
		case m.Kind == steer.DenyPacket:
			b.Denied(c.now, sender, p, &message)
		case m.Kind != steer.Shutdown && m.Key != key(1000): // a forged owner of the flow would be believed
			b.HandleMessage(c.now, sender, &message)
		}
		message = m
		if m.Service != steer.ServiceOf("desk") || p.Key != key(1000) {
			owner.agent.FromBalancer(c.now, c.balancerAddr(b), &message, p)
			p.Returned = true
			owner.agent.FromServer(c.now, p, &message)
		}
		c.resume(b)
		b.Tick(c.now+200, func(place.ID) {})
		if got := c.send(b, dataPacket(1000, owner.server)); got != owner {
			t.Fatalf("the open flow was not delivered to its server")
		}
	})
}
