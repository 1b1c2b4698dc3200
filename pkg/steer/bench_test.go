package steer_test

import (
	"fmt"
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
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

// The agents that are asked about a flow that nobody holds, and the round trips.
func BenchmarkSearchForLostFlow(b *testing.B) {
	for _, servers := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			c := newCluster(b, servers, 1)
			c.renewEntries()
			port, rounds := 1000, 0
			for b.Loop() {
				port++
				rounds += c.sendLost(port)
			}
			b.ReportMetric(float64(c.offers)/float64(port-1000), "offers/op")
			b.ReportMetric(float64(rounds)/float64(port-1000), "rounds/op")
		})
	}
}

// What a balancer does ten times a second, and at each change.
func BenchmarkBalancerTickAndView(b *testing.B) {
	for _, servers := range []int{136, 1000, 41000} {
		var balancer steer.Balancer
		listing := []steer.Change{{Config: config(1)}}
		for i := range servers {
			id := steer.AgentOf(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}))
			listing = append(listing, steer.Change{Server: &steer.Server{Name: fmt.Sprint(i), Agent: id, Service: fmt.Sprint("desk", i%max(1, servers/100)), Slots: 2, Revision: 1}})
		}
		const now = 1_700_000_000_000
		balancer.Registry.ApplyListing(now, listing)
		balancer.Tick(now, func(id agentID) { balancer.HandleMessage(now, id, &steer.Message{Kind: steer.Pong}) })
		b.Run(fmt.Sprint("tick/", servers), func(b *testing.B) {
			for b.Loop() {
				balancer.Tick(now, func(agentID) {})
			}
		})
		b.Run(fmt.Sprint("view/", servers), func(b *testing.B) {
			version := uint64(1)
			for b.Loop() {
				version++
				balancer.Registry.Apply(now, []steer.Change{{Config: config(version)}})
				balancer.Registry.View(now)
			}
		})
	}
}

// A new flow of a service with 42 servers, with and without ByRoom.
func BenchmarkBalancerNewFlow(b *testing.B) {
	for _, byRoom := range []bool{false, true} {
		b.Run(fmt.Sprint("ByRoom=", byRoom), func(b *testing.B) {
			c := newCluster(b, 42, 1)
			balancer := c.balancers[0]
			balancer.ByRoom = byRoom
			for id := range c.hosts {
				c.report(balancer, id, 80, 30)
			}
			var m steer.Message
			port := 0
			b.ReportAllocs()
			for b.Loop() {
				port = (port + 1) % 60_000
				balancer.FromCaller(c.now+clock.Millis(port/2), steer.Packet{Key: key(port), SYN: true}, &m)
			}
		})
	}
}
