package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"syscall"
	"time"

	"dogwoodlanding.example/dogwood/internal/netsim"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/member"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/spread"
)

// gcPercent is the value that the dogwood daemons set, so that the processor time
// includes as much garbage collection as theirs.
const gcPercent = 50

// Planned size of the fleet.
const (
	targetServers   = 41_000
	targetServices  = 21_000
	targetBalancers = 5_400
	targetProcesses = targetServers + targetBalancers
)

// measurements lists the measurements by the name that --only selects.
var measurements = []measurement{
	{"configuration", measureConfiguration},
	{"processes", measureProcesses},
	{"membership", measureMembership},
	{"control", measureControl},
	{"failures", measureFailures},
	{"claims", measureClaims},
	{"flows", measureFlows},
}

// sizeFractions are the fractions of the largest size at which the memory and time of a
// single process are measured. The largest size is the planned one, but for
// measureFlows.
var sizeFractions = []float64{0.0625, 0.125, 0.25, 0.5, 1}

// startTime is an arbitrary clock reading for measurements without a simulated clock.
const startTime = 1_700_000_000_000 * clock.Millis(1)

// declareFleet returns configuration files for a fraction of the planned fleet.
func declareFleet(fraction float64) []conf.File {
	services, servers, balancers := int(targetServices*fraction), int(targetServers*fraction), int(targetBalancers*fraction)
	var dataCentreEntries []string
	for i := range 9 {
		dataCentreEntries = append(dataCentreEntries, fmt.Sprintf(`{"Name": "c%d"}`, i))
	}
	var balancerEntries []string
	for i := range balancers {
		balancerEntries = append(balancerEntries, fmt.Sprintf(`{"Name": "b%d", "Host": "11.%d.%d.%d", "DataCentre": "c%d"}`, i, i>>16, i>>8&255, i&255, i%9))
	}
	out := []conf.File{
		{Name: "00.json", Content: []byte(`{"Owner": "network", "DataCentres": [` + strings.Join(dataCentreEntries, ",") + `]}`)},
		{Name: "01.json", Content: []byte(`{"Owner": "network", "Balancers": [` + strings.Join(balancerEntries, ",") + `]}`)},
	}
	next := 0 // servers are divided evenly among the services
	for i := range services {
		var serverEntries []string
		for next*services < servers*(i+1) {
			serverEntries = append(serverEntries, serverEntry(next, i, "Serving"))
			next++
		}
		text := fmt.Sprintf(`{"Owner": "team-%d", "Services": [{"Name": "s%d", "Address": "172.16.%d.%d", "Endpoints": [{"Protocol": "Tcp", "Port": 443, "Carries": "Streams"}]}], "BackendServers": [%s]}`,
			i, i, i>>8, i&255, strings.Join(serverEntries, ", "))
		out = append(out, conf.File{Name: fmt.Sprintf("s%05d.json", i), Content: []byte(text)})
	}
	return out
}

// serverEntry returns the JSON object of backend server n.
func serverEntry(n, service int, state string) string {
	return fmt.Sprintf(`{"Name": "n%d", "Host": "10.%d.%d.%d", "DataCentre": "c%d", "Service": "s%d", "Slots": 7, "Connections": 2000, "Weight": 100, "State": %q}`,
		n, n>>16, n>>8&255, n&255, n%9, service, state)
}

// serverOverride returns a file that changes the state of server i modulo 100.
func serverOverride(i int) conf.File {
	state := []string{"Leaving", "Serving"}[i%2]
	text := fmt.Sprintf(`{"Owner": "operator", "BackendServers": [{"Name": "n%d", "State": %q}]}`, i%100, state)
	return conf.File{Name: fmt.Sprintf("z%d.json", i%100), Content: []byte(text)}
}

// liveHeapBytes returns the size of the live heap. The second collection frees what
// sync.Pool and finalizers keep alive through the first.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// meanTimeMs calls f several times and returns the mean wall-clock time of a call.
func meanTimeMs(times int, f func(i int)) float64 {
	started := time.Now()
	for i := range times {
		f(i)
	}
	return float64(time.Since(started).Microseconds()) / 1000 / float64(times)
}

// meanProcessorTimeMs calls f several times and returns the mean processor time of a
// call, including garbage collection during the calls.
func meanProcessorTimeMs(times int, f func(i int)) float64 {
	usedBefore := processorTimeMs()
	for i := range times {
		f(i)
	}
	return (processorTimeMs() - usedBefore) / float64(times)
}

// processorTimeMs returns the user and system time that this process has used, 0 if it
// is unavailable.
func processorTimeMs() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e6
}

// measureConfiguration measures the time to build the whole configuration and to apply
// one changed file, the memory of the configuration, and the size of its files.
func measureConfiguration() []Series {
	whole := Series{Name: "accept the whole folder", Unit: "ms", SizeUnit: "servers", TargetSize: targetServers}
	change := Series{Name: "accept one changed file", Unit: "ms", SizeUnit: "servers", TargetSize: targetServers}
	memory := Series{Name: "memory of the folder besides its text", Unit: "MB", SizeUnit: "servers", TargetSize: targetServers}
	text := Series{Name: "text of the folder", Unit: "MB", SizeUnit: "servers", TargetSize: targetServers}
	for _, fraction := range sizeFractions {
		files := declareFleet(fraction)
		size := math.Floor(targetServers * fraction)
		textBytes := 0
		for _, file := range files {
			textBytes += len(file.Content)
		}
		text.Points = append(text.Points, Point{size, float64(textBytes) / 1e6})
		before := liveHeapBytes()
		var set conf.Set
		whole.Points = append(whole.Points, Point{size, meanTimeMs(1, func(int) { set, _ = conf.Build(files) })})
		memory.Points = append(memory.Points, Point{size, (liveHeapBytes() - before) / 1e6})
		change.Points = append(change.Points, Point{size, meanTimeMs(30, func(i int) { set, _ = set.With([]conf.File{serverOverride(i)}, nil) })})
	}
	return []Series{whole, change, memory, text}
}

// process is the decision core of a balancer or an agent.
type process interface {
	Tick(now clock.Millis) []node.Action
	HandlePoll(now clock.Millis, change spread.Change, ok bool) []node.Action
}

func identity(name string) node.Identity {
	return node.Identity{Name: name, DataCentre: "c0", Instance: 1, Random: rand.New(rand.NewPCG(1, 2))}
}

// measureProcesses measures the memory and time of a balancer and an agent that hold
// the whole configuration. The balancer's owner cache is minimal, because measureFlows
// measures it.
func measureProcesses() []Series {
	var out []Series
	for _, role := range []string{"balancer", "agent"} {
		memory := Series{Name: role + ": memory besides the folder's text", Unit: "MB", SizeUnit: "servers", TargetSize: targetServers}
		change := Series{Name: role + ": one change in force", Unit: "ms", SizeUnit: "servers", TargetSize: targetServers}
		work := Series{Name: role + ": processor time of a change", Unit: "ms", SizeUnit: "servers", TargetSize: targetServers}
		idle := Series{Name: role + ": timers", Unit: "µs/s", SizeUnit: "servers", TargetSize: targetServers}
		for _, fraction := range sizeFractions {
			files := declareFleet(fraction)
			size := math.Floor(targetServers * fraction)
			before := liveHeapBytes()
			var c process = &node.Balancer{Identity: identity("b0"), CacheFlows: 1}
			if role == "agent" {
				c = &node.Agent{Identity: identity("n0")}
			}
			c.Tick(startTime)
			c.HandlePoll(startTime, spread.Change{Revision: 1, Written: files}, true)
			memory.Points = append(memory.Points, Point{size, (liveHeapBytes() - before) / 1e6})
			change.Points = append(change.Points, Point{size, meanTimeMs(30, func(i int) {
				c.HandlePoll(startTime, spread.Change{From: uint64(i + 1), Revision: uint64(i + 2), Written: []conf.File{serverOverride(i)}}, true)
			})})
			work.Points = append(work.Points, Point{size, meanProcessorTimeMs(100, func(i int) {
				c.HandlePoll(startTime, spread.Change{From: uint64(i + 31), Revision: uint64(i + 32), Written: []conf.File{serverOverride(i)}}, true)
			})})
			// The timers run every 50 ms, which is 20 times a second.
			idle.Points = append(idle.Points, Point{size, 1000 * 20 * meanTimeMs(2000, func(i int) { c.Tick(startTime + clock.Millis(50*i)) })})
		}
		out = append(out, memory, change, work, idle)
	}
	return out
}

// measureMembership measures a membership table with a record of every process.
func measureMembership() []Series {
	memory := Series{Name: "membership: memory", Unit: "MB", SizeUnit: "processes", TargetSize: targetProcesses}
	ring := Series{Name: "membership: new ring", Unit: "ms", SizeUnit: "processes", TargetSize: targetProcesses}
	for _, fraction := range sizeFractions {
		count := int(targetProcesses * fraction)
		before := liveHeapBytes()
		t := &member.Table{Self: place.IDOf("0"), Instance: 1, Random: rand.New(rand.NewPCG(1, 1))}
		var peers []member.Peer
		for i := range count {
			peers = append(peers, member.Peer{ID: place.IDOf(fmt.Sprint(i)), DataCentre: fmt.Sprint(i % 9), Region: fmt.Sprint(i % 3)})
		}
		ring.Points = append(ring.Points, Point{float64(count), meanTimeMs(1, func(int) { t.SetPeers(startTime, peers) })})
		for _, peer := range peers[1:] {
			t.HandleGossip(peer.ID, member.Gossip{Records: []member.StateRecord{{ID: peer.ID, Instance: 1}}, NoReply: true})
		}
		memory.Points = append(memory.Points, Point{float64(count), (liveHeapBytes() - before) / 1e6})
		runtime.KeepAlive(t)
	}
	return []Series{memory, ring}
}

// fleetSizes are the numbers of servers in the measured fleets.
var fleetSizes = []int{25, 50, 100, 200, 400}

// newFleet returns a simulated fleet whose start-up traffic has ended.
func newFleet(servers int) *netsim.World {
	w := netsim.New(uint64(servers))
	w.CountControlBytes = true
	w.Build(netsim.Layout{DataCentres: 3, Balancers: max(3, servers/8), Services: []netsim.ServiceLayout{{Name: "watch", Servers: servers, Slots: 4}}})
	w.RunFor(40 * clock.Second)
	runUntilGossipEnds(w)
	return w
}

// runUntilGossipEnds runs the fleet until no process has rumours left to send, and 10
// seconds more.
func runUntilGossipEnds(w *netsim.World) {
	for pending := true; pending; {
		w.RunFor(10 * clock.Second)
		pending = false
		for _, name := range w.Names() {
			pending = pending || w.Hosts[name].PendingRumours() > 0
		}
	}
	w.RunFor(10 * clock.Second)
}

// controlBytesDuring runs the fleet for a time span and returns the control traffic per
// process, sent and received.
func controlBytesDuring(w *netsim.World, span clock.Millis) float64 {
	before := w.ControlBytes
	w.RunFor(span)
	return 2 * float64(w.ControlBytes-before) / float64(len(w.Names())) // each byte is sent once and received once
}

// measureControl measures the control traffic without and with configuration changes,
// the rate of platform calls, and the time until a change is in force at every process.
func measureControl() []Series {
	targetLog2 := math.Log2(targetProcesses)
	rest := Series{Name: "control traffic at rest", Unit: "B/s", SizeUnit: "log2 processes", TargetSize: targetLog2}
	change := Series{Name: "control traffic of a change", Unit: "B", SizeUnit: "log2 processes", TargetSize: targetLog2}
	calls := Series{Name: "platform calls at 6 changes a minute", Unit: "1/s", SizeUnit: "processes", TargetSize: targetProcesses}
	propagation := Series{Name: "change in force everywhere", Unit: "ms", SizeUnit: "log2 processes", TargetSize: targetLog2}
	for _, size := range fleetSizes {
		w := newFleet(size)
		count := float64(len(w.Names()))
		baseRate := controlBytesDuring(w, 20*clock.Second) / 20
		rest.Points = append(rest.Points, Point{math.Log2(count), baseRate})
		callsBefore := w.Platform.Calls
		slowest, totalBytes := 0.0, 0.0
		for i := range 6 {
			revision := w.Override(fmt.Sprintf("z%d.json", i%3), "BackendServers", netsim.ServerName("watch", i%3), "Weight", 90+i)
			started, bytesBefore := w.Now(), w.ControlBytes
			for !inForceEverywhere(w, revision) {
				w.RunFor(5)
			}
			slowest = max(slowest, float64(w.Now()-started))
			w.RunFor(10*clock.Second - (w.Now() - started))
			totalBytes += 2*float64(w.ControlBytes-bytesBefore)/count - baseRate*10
		}
		change.Points = append(change.Points, Point{math.Log2(count), totalBytes / 6})
		calls.Points = append(calls.Points, Point{count, float64(w.Platform.Calls-callsBefore) / 60})
		propagation.Points = append(propagation.Points, Point{math.Log2(count), slowest})
	}
	return []Series{rest, change, calls, propagation}
}

// inForceEverywhere reports whether every running process has at least a revision.
func inForceEverywhere(w *netsim.World, revision uint64) bool {
	for _, name := range w.Names() {
		if h := w.Hosts[name]; h.Up && h.Revision() < revision {
			return false
		}
	}
	return true
}

// measureFailures measures the control traffic caused by a host's failure and restart,
// and the time until every process has detected the failure.
func measureFailures() []Series {
	targetLog2 := math.Log2(targetProcesses)
	death := Series{Name: "control traffic of a host's death", Unit: "B", SizeUnit: "log2 processes", TargetSize: targetLog2}
	restart := Series{Name: "control traffic of a restart", Unit: "B", SizeUnit: "log2 processes", TargetSize: targetLog2}
	detection := Series{Name: "death known everywhere", Unit: "ms", SizeUnit: "log2 processes", TargetSize: targetLog2}
	for _, size := range fleetSizes {
		w := newFleet(size)
		count := float64(len(w.Names()))
		baseRate := controlBytesDuring(w, 20*clock.Second) / 20
		h := w.Hosts[netsim.ServerName("watch", 7)]
		failedAt, bytesBefore := w.Now(), w.ControlBytes
		h.Kill()
		for !detectedEverywhere(w, h.Name) && w.Now()-failedAt < clock.Minute {
			w.RunFor(20)
		}
		detection.Points = append(detection.Points, Point{math.Log2(count), float64(w.Now() - failedAt)})
		w.RunFor(40*clock.Second - (w.Now() - failedAt))
		death.Points = append(death.Points, Point{math.Log2(count), 2*float64(w.ControlBytes-bytesBefore)/count - baseRate*40})
		bytesBefore = w.ControlBytes
		h.Start()
		w.RunFor(40 * clock.Second)
		restart.Points = append(restart.Points, Point{math.Log2(count), 2*float64(w.ControlBytes-bytesBefore)/count - baseRate*40})
	}
	return []Series{death, restart, detection}
}

// detectedEverywhere reports whether no running process counts a host as alive.
func detectedEverywhere(w *netsim.World, name string) bool {
	id := place.IDOf(name)
	for _, other := range w.Names() {
		h := w.Hosts[other]
		if h.Balancer != nil && h.Balancer.Members().Alive(id) || h.Agent != nil && h.Up && h.Agent.Members().Alive(id) {
			return false
		}
	}
	return true
}

// measureClaims measures the control traffic of non-idempotent requests, which an agent
// must claim before it runs them.
func measureClaims() []Series {
	s := Series{Name: "control traffic of claims, whole fleet", Unit: "B/s", SizeUnit: "claims a second", TargetSize: 1000}
	for _, rate := range []int{10, 20, 40, 80} {
		w := newFleet(30)
		baseRate := controlBytesDuring(w, 20*clock.Second) / 20
		bytesBefore := w.ControlBytes
		for i := range rate * 20 {
			w.SendRequest(w.NewRequest("hold", 0), 0, 2000+i)
			w.RunFor(clock.Second / clock.Millis(rate))
		}
		count := float64(len(w.Names()))
		// Halved, so that the sum over the fleet counts each byte once.
		s.Points = append(s.Points, Point{float64(rate), (2*float64(w.ControlBytes-bytesBefore)/count/20 - baseRate) * count / 2})
	}
	return []Series{s}
}

// measureFlows measures the memory of a balancer's owner cache and of an agent's flow
// table.
func measureFlows() []Series {
	balancer := Series{Name: "balancer: memory of flows", Unit: "MB", SizeUnit: "flows", TargetSize: 500_000}
	agent := Series{Name: "agent: memory of flows", Unit: "MB", SizeUnit: "flows", TargetSize: 4_700}
	for _, fraction := range sizeFractions {
		count := int(1_000_000 * fraction)
		before := liveHeapBytes()
		cache := flow.NewCache(count)
		balancer.Points = append(balancer.Points, Point{float64(count), (liveHeapBytes() - before) / 1e6})
		runtime.KeepAlive(cache)
		count = int(200_000 * fraction)
		before = liveHeapBytes()
		owner := &flow.Owner{}
		var keys []flow.Key
		for i := range count {
			keys = append(keys, netsim.FlowKey(i, 0))
		}
		owner.Rebuild(startTime, keys)
		keys = nil
		agent.Points = append(agent.Points, Point{float64(count), (liveHeapBytes() - before) / 1e6})
		runtime.KeepAlive(owner)
	}
	return []Series{balancer, agent}
}
