package node_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/packet"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"dogwoodlanding.example/dogwood/pkg/wire"
)

const now = 1_700_000_000_000 * clock.Millis(1)

// configFiles returns a configuration of one service with a number of servers.
func configFiles(servers int) []conf.File {
	var rows []string
	for i := range servers {
		rows = append(rows, fmt.Sprintf(`{"Name": "s%d", "Host": "10.0.%d.%d", "DataCentre": "c", "Service": "watch", "Slots": 7, "Connections": 2000}`, i, i>>8, i&255))
	}
	text := fmt.Sprintf(`{"Owner": "o", "DataCentres": [{"Name": "c"}], "Services": [{"Name": "watch", "Address": "192.0.2.1",
		"Endpoints": [{"Protocol": "Tcp", "Port": 443, "Carries": "Streams"}]}], "BackendServers": [%s]}`, strings.Join(rows, ","))
	return []conf.File{{Name: "1.json", Content: []byte(text)}}
}

// readyBalancer returns a balancer that serves at now+3500, after its startup wait.
func readyBalancer(servers int) *node.Balancer {
	b := &node.Balancer{Identity: node.Identity{Name: "b", DataCentre: "c", Random: rand.New(rand.NewPCG(1, 1))}}
	b.Tick(now)
	b.HandlePoll(now, spread.Change{Revision: 1, Written: configFiles(servers)}, true)
	for at := now; at <= now+3500; at += 500 {
		b.Tick(at)
	}
	if !b.Serving(now + 3500) {
		panic("the balancer does not serve")
	}
	return b
}

// flowKey returns the n-th flow to the service; its caller's address and port follow n.
func flowKey(n int) flow.Key {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), uint16(n))
	return flow.NewKey(source, netip.MustParseAddrPort("192.0.2.1:443"), packet.ProtocolTCP)
}

const cachedFlows = 500_000

func BenchmarkPacketOfHeldFlow(b *testing.B) {
	core := readyBalancer(1000)
	for i := range cachedFlows {
		hint := wire.Hint{Hash: flowKey(i).Hash(), Owner: place.IDOf(fmt.Sprintf("s%d", i%1000))}
		core.Control(now+3500, wire.Message{Hint: &hint})
	}
	b.ReportAllocs()
	info := packet.Info{Key: flowKey(0)}
	i := 0
	for b.Loop() {
		i = (i + 7919) % cachedFlows
		info.Key.SourceIP[13], info.Key.SourceIP[14], info.Key.SourceIP[15] = byte(i>>16), byte(i>>8), byte(i)
		info.Key.SourcePort = uint16(i)
		if _, ok := core.Route(now+3500, &info); !ok {
			b.Fatal("dropped")
		}
	}
	b.ReportMetric(float64(core.Counts().Hinted)/float64(b.N), "hinted/op")
}

func BenchmarkNewFlow(b *testing.B) {
	for _, servers := range []int{3, 7, 100, 1000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			core := readyBalancer(servers)
			info := packet.Info{Key: flowKey(1), OpensConnection: true}
			b.ReportAllocs()
			for b.Loop() {
				info.Key.SourcePort++
				if _, ok := core.Route(now+3500, &info); !ok {
					b.Fatal("dropped")
				}
			}
		})
	}
}

func BenchmarkReadPacket(b *testing.B) {
	raw, err := packet.Segment(flowKey(1), packet.Flags{Ack: true}, 1, 1, make([]byte, 1000))
	if err != nil {
		b.Fatal(err)
	}
	var r packet.Reader
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Read(raw); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkBytesPerHeldFlow(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(float64(flow.NewCache(cachedFlows).Bytes())/cachedFlows, "B/flow")
	}
}

func BenchmarkRebuildPlacementOfAThousandServers(b *testing.B) {
	core := readyBalancer(1000)
	weight := 100
	revision := uint64(1)
	for b.Loop() {
		weight = 101 - weight%2
		revision++
		text := fmt.Sprintf(`{"Owner": "o", "BackendServers": [{"Name": "s7", "Weight": %d}]}`, weight)
		core.HandlePoll(now+3500, spread.Change{From: revision - 1, Revision: revision, Written: []conf.File{{Name: "2.json", Content: []byte(text)}}}, true)
	}
}
