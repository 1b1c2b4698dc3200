package path_test

import (
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"dogwoodlanding.example/dogwood/platform/fakes"
	"gotest.tools/v3/assert"
)

// A held request must reach the server once and unchanged, also at a planned stop of the
// agent, or its caller waits for an answer that nobody gives.
func TestHeldRequestsReachServer(t *testing.T) {
	f := newFleet(t, 0, 0)
	f.queue, f.serviceTime = setup.QueueAllWork, 60*time.Millisecond
	f.startServer(0)
	f.startAgent(0)
	f.startBalancer(0)
	var flows []*fakes.Flow
	for i := range 12 {
		flow, _ := f.openFlow(fmt.Sprint("first", i))
		flows = append(flows, flow)
	}
	sendAll := func(request string, timeout time.Duration) *sync.WaitGroup {
		var wait sync.WaitGroup
		for i, flow := range flows {
			wait.Go(func() {
				_, err := flow.SendRequest(fmt.Sprint(request, i), timeout)
				assert.Check(t, err == nil || request == "last", "%s%d: %v", request, i, err)
			})
		}
		return &wait
	}
	runs := func(request string) (n int) {
		for i := range flows {
			n += f.servers["s0"].Runs(fmt.Sprint(request, i))
		}
		return n
	}
	sendAll("second", 2*time.Second).Wait()
	assert.Equal(t, runs("second"), len(flows))
	before := f.metric("server", 0, `dogwood_agent_held_total{class="0"}`)
	assert.Assert(t, before > 0)
	assert.Equal(t, f.metric("server", 0, `dogwood_agent_held_seconds_count{class="0"}`), before)
	assert.Equal(t, f.metric("server", 0, `dogwood_agent_refused_total{class="0",reason="Backlog"}`), 0.0)

	wait := sendAll("last", 150*time.Millisecond)
	f.eventually(func() bool { return f.metric("server", 0, `dogwood_agent_held_total{class="0"}`) > before }, "requests are held")
	f.stop["agent0"]()
	f.eventually(func() bool { return runs("last") == len(flows) }, "all requests run")
	wait.Wait()
	assert.Equal(t, f.servers["s0"].ModifiedPackets(), 0)
}

// Callers that are gone never send the request of their flow. While datagrams came more
// often than the timers run, the agent went on waiting for those requests: its server idled
// behind a full queue.
func TestCallersThatAreGoneBlockNoQueue(t *testing.T) {
	f := newFleet(t, 0, 0)
	f.queue = setup.QueueAllWork
	f.startServer(0)
	f.startAgent(0)
	f.eventually(func() bool { return f.logs.contains("started") }, "the agent is started")
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(f.addr("balancer", 0, agentsPort)))
	assert.NilError(t, err)
	defer conn.Close()
	agent := net.UDPAddrFromAddrPort(f.addr("server", 0, packetPort))
	offer := func(m steer.Message, p fakes.Packet) {
		m.Kind, m.Service, m.Revision, m.Slots, m.TimeLimit = steer.OfferPacket, steer.ServiceOf("desk"), 1, 2, 1500
		datagram := make([]byte, m.Size())
		m.Encode(datagram)
		_, err := conn.WriteToUDP(append(datagram, p.Encode()...), agent)
		assert.NilError(t, err)
	}
	packet := func(port uint16) fakes.Packet {
		return fakes.Packet{Source: netip.AddrPortFrom(f.addr("caller", 0, 0).Addr(), port), Target: serviceAddr, Seq: 1}
	}
	const flows = 12 // the agent opens four at a time
	for port := range uint16(flows) {
		syn := packet(4000 + port)
		syn.Flags = fakes.FlagSyn
		offer(steer.Message{LastOffer: true}, syn)
	}
	for range 200 {
		search := packet(5000)
		search.Flags = fakes.FlagAck
		offer(steer.Message{KnownOnly: true}, search)
		time.Sleep(2 * time.Millisecond)
	}
	assert.Equal(t, f.metric("server", 0, "dogwood_agent_opened_total"), float64(flows))
}

// metric returns the value of a metric, given with its labels, of a process.
func (f *fleet) metric(kind string, i int, name string) float64 {
	f.t.Helper()
	found := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (.*)$`).FindStringSubmatch(f.metricsPage(kind, i))
	assert.Assert(f.t, found != nil, "no metric %s", name)
	value, err := strconv.ParseFloat(found[1], 64)
	assert.NilError(f.t, err)
	return value
}
