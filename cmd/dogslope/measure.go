package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"syscall"
	"time"

	"dogwoodlanding.example/dogwood/internal/world"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/member"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/spread"
)

// gcPercent is what the daemons set.
const gcPercent = 50

// The size to come.
const (
	wantServers   = 41_000
	wantServices  = 21_000
	wantNodes     = 5_400
	wantProcesses = wantServers + wantNodes
)

var measurements = []measurement{
	{"configuration", configuration},
	{"processes", processes},
	{"membership", membership},
	{"control", control},
	{"failures", failures},
	{"claims", claims},
	{"flows", flows},
}

// shares of the size to come at which in-process state is measured.
var shares = []float64{0.0625, 0.125, 0.25, 0.5, 1}

const now = 1_700_000_000_000 * clock.Millis(1)

// files declares a share of the fleet to come.
func files(share float64) []conf.File {
	services, servers, balancers := int(wantServices*share), int(wantServers*share), int(wantNodes*share)
	var centres []string
	for i := range 9 {
		centres = append(centres, fmt.Sprintf(`{"Name": "c%d"}`, i))
	}
	var nodes []string
	for i := range balancers {
		nodes = append(nodes, fmt.Sprintf(`{"Name": "b%d", "Host": "11.%d.%d.%d", "DataCentre": "c%d"}`, i, i>>16, i>>8&255, i&255, i%9))
	}
	out := []conf.File{
		{Name: "00.json", Content: []byte(`{"Owner": "network", "DataCentres": [` + strings.Join(centres, ",") + `]}`)},
		{Name: "01.json", Content: []byte(`{"Owner": "network", "Balancers": [` + strings.Join(nodes, ",") + `]}`)},
	}
	next := 0
	for i := range services {
		var rows []string
		for next*services < servers*(i+1) {
			rows = append(rows, row(next, i, "Serving"))
			next++
		}
		text := fmt.Sprintf(`{"Owner": "team-%d", "Services": [{"Name": "s%d", "Address": "172.16.%d.%d", "Endpoints": [{"Protocol": "Tcp", "Port": 443, "Carries": "Streams"}]}], "BackendServers": [%s]}`,
			i, i, i>>8, i&255, strings.Join(rows, ", "))
		out = append(out, conf.File{Name: fmt.Sprintf("s%05d.json", i), Content: []byte(text)})
	}
	return out
}

func row(n, service int, state string) string {
	return fmt.Sprintf(`{"Name": "n%d", "Host": "10.%d.%d.%d", "DataCentre": "c%d", "Service": "s%d", "Slots": 7, "Connections": 2000, "Weight": 100, "State": %q}`,
		n, n>>16, n>>8&255, n&255, n%9, service, state)
}

// drained is a file that changes one server.
func drained(i int) conf.File {
	state := []string{"Leaving", "Serving"}[i%2]
	text := fmt.Sprintf(`{"Owner": "operator", "BackendServers": [{"Name": "n%d", "State": %q}]}`, i%100, state)
	return conf.File{Name: fmt.Sprintf("z%d.json", i%100), Content: []byte(text)}
}

// heap is the live heap in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// timed returns the mean time of a call in milliseconds.
func timed(times int, f func(i int)) float64 {
	begun := time.Now()
	for i := range times {
		f(i)
	}
	return float64(time.Since(begun).Microseconds()) / 1000 / float64(times)
}

// worked returns the mean processor time of a call in milliseconds, with what
// the garbage collector spends meanwhile.
func worked(times int, f func(i int)) float64 {
	begun := processorTime()
	for i := range times {
		f(i)
	}
	return (processorTime() - begun) / float64(times)
}

// processorTime is what this process has used, in milliseconds.
func processorTime() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e6
}

// configuration measures accepting the whole folder and one changed file.
func configuration() []Slope {
	whole := Slope{Name: "accept the whole folder", Unit: "ms", Of: "servers", Target: wantServers}
	change := Slope{Name: "accept one changed file", Unit: "ms", Of: "servers", Target: wantServers}
	memory := Slope{Name: "memory of the folder besides its text", Unit: "MB", Of: "servers", Target: wantServers}
	text := Slope{Name: "text of the folder", Unit: "MB", Of: "servers", Target: wantServers}
	for _, share := range shares {
		all := files(share)
		size := math.Floor(wantServers * share)
		bytes := 0
		for _, file := range all {
			bytes += len(file.Content)
		}
		text.Points = append(text.Points, Point{size, float64(bytes) / 1e6})
		before := heap()
		var set conf.Set
		whole.Points = append(whole.Points, Point{size, timed(1, func(int) { set, _ = conf.Build(all) })})
		memory.Points = append(memory.Points, Point{size, (heap() - before) / 1e6})
		change.Points = append(change.Points, Point{size, timed(30, func(i int) { set, _ = set.With([]conf.File{drained(i)}, nil) })})
	}
	return []Slope{whole, change, memory, text}
}

// core is a balancer or an agent.
type core interface {
	Tick(now clock.Millis) []node.Action
	Polled(now clock.Millis, change spread.Change, ok bool) []node.Action
}

func identity(name string) node.Identity {
	return node.Identity{Name: name, DataCentre: "c0", Instance: 1, Random: rand.New(rand.NewPCG(1, 2))}
}

// processes measures a balancer and an agent that hold the whole folder.
func processes() []Slope {
	var out []Slope
	for _, kind := range []string{"balancer", "agent"} {
		memory := Slope{Name: kind + ": memory besides the folder's text", Unit: "MB", Of: "servers", Target: wantServers}
		change := Slope{Name: kind + ": one change in force", Unit: "ms", Of: "servers", Target: wantServers}
		work := Slope{Name: kind + ": processor time of a change", Unit: "ms", Of: "servers", Target: wantServers}
		idle := Slope{Name: kind + ": timers", Unit: "µs/s", Of: "servers", Target: wantServers}
		for _, share := range shares {
			all := files(share)
			size := math.Floor(wantServers * share)
			before := heap()
			var c core = &node.Balancer{Identity: identity("b0"), CacheFlows: 1}
			if kind == "agent" {
				c = &node.Agent{Identity: identity("n0")}
			}
			c.Tick(now)
			c.Polled(now, spread.Change{Revision: 1, Written: all}, true)
			memory.Points = append(memory.Points, Point{size, (heap() - before) / 1e6})
			change.Points = append(change.Points, Point{size, timed(30, func(i int) {
				c.Polled(now, spread.Change{From: uint64(i + 1), Revision: uint64(i + 2), Written: []conf.File{drained(i)}}, true)
			})})
			work.Points = append(work.Points, Point{size, worked(100, func(i int) {
				c.Polled(now, spread.Change{From: uint64(i + 31), Revision: uint64(i + 32), Written: []conf.File{drained(i)}}, true)
			})})
			idle.Points = append(idle.Points, Point{size, 1000 * 20 * timed(2000, func(i int) { c.Tick(now + clock.Millis(50*i)) })})
		}
		out = append(out, memory, change, work, idle)
	}
	return out
}

// membership measures a full view of who can be reached.
func membership() []Slope {
	memory := Slope{Name: "membership: memory", Unit: "MB", Of: "processes", Target: wantProcesses}
	ring := Slope{Name: "membership: new ring", Unit: "ms", Of: "processes", Target: wantProcesses}
	for _, share := range shares {
		count := int(wantProcesses * share)
		before := heap()
		t := &member.Table{Self: place.IDOf("0"), Instance: 1, Random: rand.New(rand.NewPCG(1, 1))}
		var peers []member.Peer
		for i := range count {
			peers = append(peers, member.Peer{ID: place.IDOf(fmt.Sprint(i)), DataCentre: fmt.Sprint(i % 9), Region: fmt.Sprint(i % 3)})
		}
		ring.Points = append(ring.Points, Point{float64(count), timed(1, func(int) { t.SetPeers(now, peers) })})
		for _, peer := range peers[1:] {
			t.HandleGossip(peer.ID, member.Gossip{Records: []member.StateRecord{{ID: peer.ID, Instance: 1}}, NoReply: true})
		}
		memory.Points = append(memory.Points, Point{float64(count), (heap() - before) / 1e6})
		runtime.KeepAlive(t)
	}
	return []Slope{memory, ring}
}

// fleetSizes are the numbers of servers in the measured fleets.
var fleetSizes = []int{25, 50, 100, 200, 400}

// fleet builds a settled fleet of a size.
func fleet(servers int) *world.World {
	w := world.New(uint64(servers))
	w.CountSize = true
	w.Build(world.Layout{Centres: 3, Balancers: max(3, servers/8), Services: []world.Shape{{Name: "watch", Servers: servers, Slots: 4}}})
	w.Run(40 * clock.Second)
	calm(w)
	return w
}

// calm lets time pass until the news of the start has spread.
func calm(w *world.World) {
	for news := true; news; {
		w.Run(10 * clock.Second)
		news = false
		for _, name := range w.Names() {
			news = news || w.Hosts[name].News() > 0
		}
	}
	w.Run(10 * clock.Second)
}

// bytesDuring is the control traffic of a span for each process.
func bytesDuring(w *world.World, span clock.Millis) float64 {
	before := w.Bytes
	w.Run(span)
	return 2 * float64(w.Bytes-before) / float64(len(w.Names())) // sent by one, received by another
}

// control measures control traffic at rest and with changes, the platform's
// calls, and the time until a change is in force everywhere.
func control() []Slope {
	log := math.Log2(wantProcesses)
	rest := Slope{Name: "control traffic at rest", Unit: "B/s", Of: "log2 processes", Target: log}
	change := Slope{Name: "control traffic of a change", Unit: "B", Of: "log2 processes", Target: log}
	calls := Slope{Name: "platform calls at 6 changes a minute", Unit: "1/s", Of: "processes", Target: wantProcesses}
	spreadTime := Slope{Name: "change in force everywhere", Unit: "ms", Of: "log2 processes", Target: log}
	for _, size := range fleetSizes {
		w := fleet(size)
		count := float64(len(w.Names()))
		base := bytesDuring(w, 20*clock.Second) / 20
		rest.Points = append(rest.Points, Point{math.Log2(count), base})
		before := w.Platform.Calls
		slowest, extra := 0.0, 0.0
		for i := range 6 {
			revision := w.Override(fmt.Sprintf("z%d.json", i%3), "BackendServers", world.ServerName("watch", i%3), "Weight", 90+i)
			begun, bytes := w.Now(), w.Bytes
			for !everywhere(w, revision) {
				w.Run(5)
			}
			slowest = max(slowest, float64(w.Now()-begun))
			w.Run(10*clock.Second - (w.Now() - begun))
			extra += 2*float64(w.Bytes-bytes)/count - base*10
		}
		change.Points = append(change.Points, Point{math.Log2(count), extra / 6})
		calls.Points = append(calls.Points, Point{count, float64(w.Platform.Calls-before) / 60})
		spreadTime.Points = append(spreadTime.Points, Point{math.Log2(count), slowest})
	}
	return []Slope{rest, change, calls, spreadTime}
}

func everywhere(w *world.World, revision uint64) bool {
	for _, name := range w.Names() {
		if h := w.Hosts[name]; h.Up && h.Revision() < revision {
			return false
		}
	}
	return true
}

// failures measures the traffic of a host's death and of a restart.
func failures() []Slope {
	log := math.Log2(wantProcesses)
	death := Slope{Name: "control traffic of a host's death", Unit: "B", Of: "log2 processes", Target: log}
	restart := Slope{Name: "control traffic of a restart", Unit: "B", Of: "log2 processes", Target: log}
	noticed := Slope{Name: "death known everywhere", Unit: "ms", Of: "log2 processes", Target: log}
	for _, size := range fleetSizes {
		w := fleet(size)
		count := float64(len(w.Names()))
		base := bytesDuring(w, 20*clock.Second) / 20
		h := w.Hosts[world.ServerName("watch", 7)]
		begun, bytes := w.Now(), w.Bytes
		h.Kill()
		for !knownDead(w, h.Name) && w.Now()-begun < clock.Minute {
			w.Run(20)
		}
		noticed.Points = append(noticed.Points, Point{math.Log2(count), float64(w.Now() - begun)})
		w.Run(40*clock.Second - (w.Now() - begun))
		death.Points = append(death.Points, Point{math.Log2(count), 2*float64(w.Bytes-bytes)/count - base*40})
		bytes = w.Bytes
		h.Start()
		w.Run(40 * clock.Second)
		restart.Points = append(restart.Points, Point{math.Log2(count), 2*float64(w.Bytes-bytes)/count - base*40})
	}
	return []Slope{death, restart, noticed}
}

func knownDead(w *world.World, name string) bool {
	id := place.IDOf(name)
	for _, other := range w.Names() {
		h := w.Hosts[other]
		if h.Balancer != nil && h.Balancer.Members().Alive(id) || h.Agent != nil && h.Up && h.Agent.Members().Alive(id) {
			return false
		}
	}
	return true
}

// claims measures the traffic of requests that run at most once.
func claims() []Slope {
	s := Slope{Name: "control traffic of claims, whole fleet", Unit: "B/s", Of: "claims a second", Target: 1000}
	for _, rate := range []int{10, 20, 40, 80} {
		w := fleet(30)
		before := bytesDuring(w, 20*clock.Second) / 20
		begun := w.Bytes
		for i := range rate * 20 {
			w.Ask(w.NewRequest("hold", 0), 0, 2000+i)
			w.Run(clock.Second / clock.Millis(rate))
		}
		count := float64(len(w.Names()))
		s.Points = append(s.Points, Point{float64(rate), (2*float64(w.Bytes-begun)/count/20 - before) * count / 2})
	}
	return []Slope{s}
}

// flows measures the memory of flows at a balancer and at an agent.
func flows() []Slope {
	balancer := Slope{Name: "balancer: memory of flows", Unit: "MB", Of: "flows", Target: 500_000}
	agent := Slope{Name: "agent: memory of flows", Unit: "MB", Of: "flows", Target: 4_700}
	for _, share := range shares {
		count := int(1_000_000 * share)
		before := heap()
		cache := flow.NewCache(count)
		balancer.Points = append(balancer.Points, Point{float64(count), (heap() - before) / 1e6})
		runtime.KeepAlive(cache)
		count = int(200_000 * share)
		before = heap()
		owner := &flow.Owner{}
		var keys []flow.Key
		for i := range count {
			keys = append(keys, world.Flow(i, 0))
		}
		owner.Rebuild(now, keys)
		keys = nil
		agent.Points = append(agent.Points, Point{float64(count), (heap() - before) / 1e6})
		runtime.KeepAlive(owner)
	}
	return []Slope{balancer, agent}
}
