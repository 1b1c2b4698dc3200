// Package world drives the decision cores of many processes in memory, with a
// clock, a network and servers that are small fakes. Tests and the measurement
// of slopes share it; nothing in it decides anything for the system.
package world

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/wire"
)

// start is the instant at which every world begins.
const start = 1_700_000_000_000 * clock.Millis(1)

// tickInterval is the time between two runs of a core's timers.
const tickInterval = 50 * clock.Millis(1)

// World is a set of hosts with one clock. Create it with New.
type World struct {
	Random    *rand.Rand
	Timing    node.Timing
	Without   []node.Mechanism          // switched off, to show what each is for
	Delay     clock.Millis              // longest delay of a message; the shortest is 1
	Loss      float64                   // share of messages lost between hosts
	Cut       func(from, to *Host) bool // reports whether two hosts cannot reach each other
	Platform  Platform
	Hosts     map[string]*Host
	Requests  map[string]*Request
	Messages  uint64
	Bytes     uint64
	CountSize bool // encode every control message to count its bytes

	now   clock.Millis
	queue events
	order uint64
	byID  map[place.ID]*Host
	names []string

	resets map[flow.Key]int
}

// Host is one process with its place in the network.
type Host struct {
	Name       string
	Centre     string
	Balancer   *node.Balancer
	Agent      *node.Agent
	Server     *Server
	Up         bool
	Paused     clock.Millis // until this instant nothing runs
	Skew       clock.Millis // of its clock
	Blind      bool         // hears of no configuration change, from nobody
	NoPlatform bool         // cannot reach the platform, but its neighbours
	Bytes      uint64       // of control messages sent and received

	world    *World
	instance uint64
	epoch    int // counts starts, so that events for an earlier process are lost
	forced   []uint64
}

// event is something due at an instant.
type event struct {
	at    clock.Millis
	order uint64
	do    func()
}

// events is a heap by instant, then by order of entry.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// New returns a world without hosts.
func New(seed uint64) *World {
	return &World{
		Random:   rand.New(rand.NewPCG(seed, 17)),
		Delay:    3,
		Hosts:    make(map[string]*Host),
		Requests: make(map[string]*Request),
		now:      start,
		byID:     make(map[place.ID]*Host),
		resets:   make(map[flow.Key]int),
	}
}

// Now is the true time.
func (w *World) Now() clock.Millis { return w.now }

// At queues f for an instant.
func (w *World) At(at clock.Millis, f func()) {
	w.order++
	heap.Push(&w.queue, event{max(at, w.now), w.order, f})
}

// After queues f for a delay from now.
func (w *World) After(delay clock.Millis, f func()) { w.At(w.now+delay, f) }

// Run lets time pass.
func (w *World) Run(span clock.Millis) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// Names lists the hosts in the order in which they were added.
func (w *World) Names() []string { return w.names }

// add makes a host known.
func (w *World) add(h *Host) *Host {
	h.world = w
	w.Hosts[h.Name] = h
	w.byID[place.IDOf(h.Name)] = h
	w.names = append(w.names, h.Name)
	return h
}

// AddBalancer adds and starts a balancer.
func (w *World) AddBalancer(name, centre string) *Host {
	h := w.add(&Host{Name: name, Centre: centre})
	h.Start()
	return h
}

// AddAgent adds a backend server and starts its agent.
func (w *World) AddAgent(name, centre string, slots int) *Host {
	h := w.add(&Host{Name: name, Centre: centre, Server: newServer(w, name, slots)})
	h.Start()
	return h
}

// identity makes the identity of a new process.
func (h *Host) identity() node.Identity {
	h.instance++
	return node.Identity{
		Name: h.Name, DataCentre: h.Centre, Instance: uint64(h.clock()) + h.instance, Seeds: h.seeds(),
		Random: rand.New(rand.NewPCG(h.world.Random.Uint64(), 5)), Timing: h.world.Timing, Disabled: h.world.Without,
	}
}

// seeds are the hosts that a process asks before it knows a configuration.
func (h *Host) seeds() []place.ID {
	var out []place.ID
	for _, name := range h.world.names {
		if name != h.Name && len(out) < 3 {
			out = append(out, place.IDOf(name))
		}
	}
	return out
}

// clock is what the host's own clock shows.
func (h *Host) clock() clock.Millis { return h.world.now + h.Skew }

// Start starts the process anew, without memory.
func (h *Host) Start() {
	h.epoch++
	h.Up = true
	h.forced = nil
	if h.Server == nil {
		h.Balancer = &node.Balancer{Identity: h.identity(), CacheFlows: 1 << 10}
	} else {
		h.Agent = &node.Agent{Identity: h.identity()}
	}
	h.tickAfter(clock.Millis(h.world.Random.Int64N(int64(tickInterval))))
}

// Kill ends the process at once.
func (h *Host) Kill() {
	h.Up = false
	h.epoch++
}

// Pause stops the process for a while; what arrives waits.
func (h *Host) Pause(span clock.Millis) { h.Paused = max(h.Paused, h.world.now+span) }

func (h *Host) tickAfter(delay clock.Millis) {
	epoch := h.epoch
	h.world.After(delay, func() {
		if h.epoch != epoch {
			return
		}
		h.whenAwake(func() {
			h.tick()
			h.tickAfter(tickInterval)
		})
	})
}

// whenAwake runs f now, or when the host's pause ends.
func (h *Host) whenAwake(f func()) {
	epoch := h.epoch
	if !h.Up {
		return
	}
	if h.world.now >= h.Paused {
		f()
		return
	}
	h.world.At(h.Paused, func() {
		if h.epoch == epoch {
			h.whenAwake(f)
		}
	})
}

func (h *Host) tick() {
	now := h.clock()
	if h.Balancer != nil {
		h.perform(h.Balancer.Tick(now))
		return
	}
	h.lookAtServer(now)
	h.perform(h.Agent.Tick(now))
}

// transmit carries something from one host to another.
func (w *World) transmit(from, to *Host, f func()) {
	w.Messages++
	if to == nil || w.Loss > 0 && w.Random.Float64() < w.Loss || w.Cut != nil && w.Cut(from, to) {
		return
	}
	epoch := to.epoch
	w.After(1+clock.Millis(w.Random.Int64N(int64(w.Delay))), func() {
		if to.epoch == epoch {
			to.whenAwake(f)
		}
	})
}

// perform carries out the actions of a core.
func (h *Host) perform(actions []node.Action) {
	for _, a := range actions {
		switch {
		case a.Control != nil:
			h.control(a.Control)
		case a.Forward != nil:
			h.forward(a.Forward)
		case a.ToServer != nil:
			h.Server.take(a.ToServer)
		case a.ToCaller != nil:
			h.world.reset(a.ToCaller)
		case a.Respond != nil:
			h.world.answered(a.Respond)
		case a.Run != nil:
			h.Server.run(h, a.Run)
		case a.Fetch != nil:
			h.fetch(a.Fetch.From, a.Fetch.After)
		case a.Poll != nil:
			h.poll(a.Poll.After)
		case a.Activate != nil:
			h.force(a.Activate.Record.Revision)
		}
	}
}

// force checks that the configuration in force only moves forward.
func (h *Host) force(revision uint64) {
	if n := len(h.forced); n > 0 && h.forced[n-1] >= revision {
		panic(fmt.Sprintf("%s went from revision %d to %d", h.Name, h.forced[n-1], revision))
	}
	h.forced = append(h.forced, revision)
}

func (h *Host) control(c *node.Control) {
	to := h.world.byID[c.To]
	if h.world.CountSize {
		if raw, err := wire.Encode(c.Message); err == nil {
			h.world.Bytes += uint64(len(raw) + 28)
			h.Bytes += uint64(len(raw) + 28)
			if to != nil {
				to.Bytes += uint64(len(raw) + 28)
			}
		}
	}
	message := c.Message
	h.world.transmit(h, to, func() { to.receive(message) })
}

func (h *Host) receive(m wire.Message) {
	if h.Blind && m.Digest != nil {
		return
	}
	if h.Balancer != nil {
		h.perform(h.Balancer.Control(h.clock(), m))
		return
	}
	h.perform(h.Agent.Control(h.clock(), m))
}

// Serving reports whether the process is up and may handle traffic.
func (h *Host) Serving() bool {
	if !h.Up {
		return false
	}
	if h.Balancer != nil {
		return h.Balancer.Serving(h.clock())
	}
	return h.Agent.Serving(h.clock())
}

// News is the number of rumours that the process still spreads.
func (h *Host) News() int {
	if h.Balancer != nil {
		return h.Balancer.Members().PendingRumours()
	}
	return h.Agent.Members().PendingRumours()
}

// Revision is the configuration in force at the process.
func (h *Host) Revision() uint64 {
	if h.Balancer != nil {
		return h.Balancer.Config().Revision()
	}
	return h.Agent.Config().Revision()
}

// hostAddr numbers a host's address.
func hostAddr(n int) string {
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}).String()
}
