package steer_test

import (
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/steer"
)

func BenchmarkBalancerKnownFlow(b *testing.B) {
	var balancer steer.Balancer
	var listing []steer.Change
	listing = append(listing, steer.Change{Config: config(1)})
	for i := range 50 {
		id := steer.AgentOf(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}))
		listing = append(listing, steer.Change{Server: &steer.Server{Name: string(rune('a' + i)), Agent: id, Service: "desk", Slots: 2, Revision: 1}})
	}
	balancer.Registry.ApplyListing(1_700_000_000_000, listing)
	balancer.HandleMessage(1_700_000_000_000, steer.AgentOf(netip.MustParseAddr("10.1.0.7")), &steer.Message{Kind: steer.HoldFlow, Key: key(1)})
	p := steer.Packet{Key: key(1), HasACK: true, Bytes: 100}
	var m steer.Message
	b.ReportAllocs()
	for b.Loop() {
		balancer.FromCaller(1_700_000_000_000, p, &m)
	}
}

func BenchmarkAgentKnownFlow(b *testing.B) {
	agent := &steer.Agent{Service: steer.ServiceOf("desk")}
	from := netip.MustParseAddrPort("10.9.0.1:7720")
	m := steer.Message{Kind: steer.OfferPacket, Service: steer.ServiceOf("desk"), Revision: 1, Slots: 2}
	agent.FromBalancer(1000, from, &m, steer.Packet{Key: key(1), SYN: true})
	agent.FromServer(1000, steer.Packet{Key: key(1), SYN: true, HasACK: true, Seq: 7}, &m)
	p := steer.Packet{Key: key(1), HasACK: true, Ack: 8, Bytes: 100}
	answer := steer.Packet{Key: key(1), HasACK: true, Bytes: 100}
	b.ReportAllocs()
	for b.Loop() {
		agent.FromBalancer(1000, from, &m, p)
		agent.FromServer(1000, answer, &m)
	}
}
