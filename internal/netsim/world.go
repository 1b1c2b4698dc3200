// Package netsim simulates a fleet in memory. It drives the balancers and agents of
// package node with a simulated clock, network, configuration platform and backend
// servers. A World holds Hosts, each with a balancer, or with an agent and its Server.
// World.Build creates them from a Layout, World.RunFor advances the time, and OpenFlow,
// SendData and SendRequest generate the traffic of callers.
//
// Property tests and the scaling measurements of dogslope share the package. It
// contains no decision logic of the system.
package netsim

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

// start is the instant at which every simulation begins.
const start = 1_700_000_000_000 * clock.Millis(1)

// tickInterval is the time between two calls of a process's Tick.
const tickInterval = 50 * clock.Millis(1)

// World is a simulated fleet whose events are executed in the order of time. Set the
// exported settings before hosts are added; the failures (LossRate, Partitioned and
// Platform) may change at any time. Create it with New.
type World struct {
	Random            *rand.Rand
	Timing            node.Timing
	Disabled          []node.Mechanism          // in every process, for experiments that show what each is needed for
	MaxDelay          clock.Millis              // of a message in the network; the least is 1 ms
	LossRate          float64                   // probability that a message is lost, 0 to 1
	Partitioned       func(from, to *Host) bool // whether messages are lost; from is nil for callers
	Platform          Platform
	Hosts             map[string]*Host
	Requests          map[string]*Request
	Messages          uint64 // messages and packets sent, including lost ones
	ControlBytes      uint64 // of control traffic, counted if CountControlBytes is set
	CountControlBytes bool   // encode control messages and fetched changes to count their bytes

	now       clock.Millis
	queue     eventQueue
	sequence  uint64 // of the last queued event
	hostsByID map[place.ID]*Host
	names     []string // of the hosts, in the order in which they were added

	resetCounts map[flow.Key]int // resets sent to callers
}

// Host is a host with one process, a balancer or an agent. An agent's host also has
// its backend server.
type Host struct {
	Name                string
	Centre              string         // name of the data centre
	Balancer            *node.Balancer // nil on an agent's host
	Agent               *node.Agent    // nil on a balancer's host
	Server              *Server        // nil on a balancer's host
	Up                  bool           // whether the process runs, also while suspended
	SuspendedUntil      clock.Millis   // true time at which a suspended process resumes
	ClockSkew           clock.Millis   // local time minus true time
	NoConfigUpdates     bool           // discards digests, and its polls fail
	PlatformUnreachable bool           // polls fail, but neighbours can be reached
	ControlBytes        uint64         // sent and received, counted if World.CountControlBytes is set

	world      *World
	instance   uint64   // number of starts, part of the instance of the process
	generation int      // counts starts and kills; events of an earlier one are discarded
	activated  []uint64 // revisions that came into force since the start, in order
}

// event is an action to execute at an instant.
type event struct {
	at       clock.Millis
	sequence uint64
	action   func()
}

// eventQueue is a heap of events ordered by instant, then by sequence number.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// New returns a world without hosts. The seed determines all its random choices.
func New(seed uint64) *World {
	return &World{
		Random:      rand.New(rand.NewPCG(seed, 17)),
		MaxDelay:    3,
		Hosts:       make(map[string]*Host),
		Requests:    make(map[string]*Request),
		now:         start,
		hostsByID:   make(map[place.ID]*Host),
		resetCounts: make(map[flow.Key]int),
	}
}

// Now returns the true time, without the clock skew of any host.
func (w *World) Now() clock.Millis { return w.now }

// At schedules f at an instant, or now if the instant has passed.
func (w *World) At(at clock.Millis, f func()) {
	w.sequence++
	heap.Push(&w.queue, event{max(at, w.now), w.sequence, f})
}

// After schedules f after a delay.
func (w *World) After(delay clock.Millis, f func()) { w.At(w.now+delay, f) }

// RunFor advances the time by a duration and executes all events that are due.
func (w *World) RunFor(duration clock.Millis) {
	end := w.now + duration
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.action()
	}
	w.now = end
}

// Names returns the names of the hosts in the order in which they were added.
func (w *World) Names() []string { return w.names }

// addHost registers a host.
func (w *World) addHost(h *Host) *Host {
	h.world = w
	w.Hosts[h.Name] = h
	w.hostsByID[place.IDOf(h.Name)] = h
	w.names = append(w.names, h.Name)
	return h
}

// AddBalancer adds a host and starts its balancer.
func (w *World) AddBalancer(name, dataCentre string) *Host {
	h := w.addHost(&Host{Name: name, Centre: dataCentre})
	h.Start()
	return h
}

// AddAgent adds a host with a backend server and starts the agent. The server runs up
// to slots requests at once.
func (w *World) AddAgent(name, dataCentre string, slots int) *Host {
	h := w.addHost(&Host{Name: name, Centre: dataCentre, Server: newServer(w, name, slots)})
	h.Start()
	return h
}

// newIdentity returns the identity of a new process. Its instance comes from the local
// clock, so it can be lower than the previous one if the clock was set back.
func (h *Host) newIdentity() node.Identity {
	h.instance++
	return node.Identity{
		Name: h.Name, DataCentre: h.Centre, Instance: uint64(h.localTime()) + h.instance, Seeds: h.seeds(),
		Random: rand.New(rand.NewPCG(h.world.Random.Uint64(), 5)), Timing: h.world.Timing, Disabled: h.world.Disabled,
	}
}

// seeds returns the processes that a new process asks while it has no configuration:
// the first three other hosts.
func (h *Host) seeds() []place.ID {
	var out []place.ID
	for _, name := range h.world.names {
		if name != h.Name && len(out) < 3 {
			out = append(out, place.IDOf(name))
		}
	}
	return out
}

// localTime returns the time of the host's clock.
func (h *Host) localTime() clock.Millis { return h.world.now + h.ClockSkew }

// Start starts a new process without the state of the previous one. The first tick has
// a random delay, so that the processes do not tick at the same time.
func (h *Host) Start() {
	h.generation++
	h.Up = true
	h.activated = nil
	if h.Server == nil {
		h.Balancer = &node.Balancer{Identity: h.newIdentity(), CacheFlows: 1 << 10}
	} else {
		h.Agent = &node.Agent{Identity: h.newIdentity()}
	}
	h.scheduleTick(clock.Millis(h.world.Random.Int64N(int64(tickInterval))))
}

// Kill ends the process without an announcement. The backend server keeps running.
func (h *Host) Kill() {
	h.Up = false
	h.generation++
}

// Suspend suspends the process for a duration. Messages that arrive meanwhile are
// handled when it resumes.
func (h *Host) Suspend(duration clock.Millis) {
	h.SuspendedUntil = max(h.SuspendedUntil, h.world.now+duration)
}

// scheduleTick schedules a tick after a delay, and then one every tickInterval.
func (h *Host) scheduleTick(delay clock.Millis) {
	generation := h.generation
	h.world.After(delay, func() {
		if h.generation != generation {
			return
		}
		h.whenResumed(func() {
			h.tick()
			h.scheduleTick(tickInterval)
		})
	})
}

// whenResumed calls f now, or when a suspension ends. It does nothing if the process
// is down, or ends before that.
func (h *Host) whenResumed(f func()) {
	generation := h.generation
	if !h.Up {
		return
	}
	if h.world.now >= h.SuspendedUntil {
		f()
		return
	}
	h.world.At(h.SuspendedUntil, func() {
		if h.generation == generation {
			h.whenResumed(f)
		}
	})
}

// tick runs the periodic work of the process.
func (h *Host) tick() {
	now := h.localTime()
	if h.Balancer != nil {
		h.perform(h.Balancer.Tick(now))
		return
	}
	h.pollServer(now)
	h.perform(h.Agent.Tick(now))
}

// transmit calls receive at the destination after a random network delay, unless the
// message is lost. From is nil for packets of callers, and to is nil if there is no such
// host. A suspended destination receives the message when it resumes.
func (w *World) transmit(from, to *Host, receive func()) {
	w.Messages++
	if to == nil || w.LossRate > 0 && w.Random.Float64() < w.LossRate || w.Partitioned != nil && w.Partitioned(from, to) {
		return
	}
	generation := to.generation
	w.After(1+clock.Millis(w.Random.Int64N(int64(w.MaxDelay))), func() {
		if to.generation == generation {
			to.whenResumed(receive)
		}
	})
}

// perform carries out the actions that a balancer or agent returned. It ignores the
// action to cancel a run.
func (h *Host) perform(actions []node.Action) {
	for _, a := range actions {
		switch {
		case a.Control != nil:
			h.sendControl(a.Control)
		case a.Forward != nil:
			h.forward(a.Forward)
		case a.ToServer != nil:
			h.Server.handlePacket(a.ToServer)
		case a.ToCaller != nil:
			h.world.recordReset(a.ToCaller)
		case a.Respond != nil:
			h.world.recordAnswer(a.Respond)
		case a.Run != nil:
			h.Server.startRun(h, a.Run)
		case a.Fetch != nil:
			h.fetch(a.Fetch.From, a.Fetch.After)
		case a.Poll != nil:
			h.poll(a.Poll.After)
		case a.Activate != nil:
			h.recordActivation(a.Activate.Record.Revision)
		}
	}
}

// recordActivation records that a revision came into force. It panics if the revision
// is not higher than the one before.
func (h *Host) recordActivation(revision uint64) {
	if n := len(h.activated); n > 0 && h.activated[n-1] >= revision {
		panic(fmt.Sprintf("%s activated revision %d and then %d", h.Name, h.activated[n-1], revision))
	}
	h.activated = append(h.activated, revision)
}

// sendControl sends a control message. Its size includes 28 bytes for the IPv4 and UDP
// headers.
func (h *Host) sendControl(c *node.Control) {
	to := h.world.hostsByID[c.To]
	if h.world.CountControlBytes {
		if raw, err := wire.Encode(c.Message); err == nil {
			h.world.ControlBytes += uint64(len(raw) + 28)
			h.ControlBytes += uint64(len(raw) + 28)
			if to != nil {
				to.ControlBytes += uint64(len(raw) + 28)
			}
		}
	}
	message := c.Message
	h.world.transmit(h, to, func() { to.handleControl(message) })
}

// handleControl handles a received control message. It discards digests if
// NoConfigUpdates is set.
func (h *Host) handleControl(m wire.Message) {
	if h.NoConfigUpdates && m.Digest != nil {
		return
	}
	if h.Balancer != nil {
		h.perform(h.Balancer.Control(h.localTime(), m))
		return
	}
	h.perform(h.Agent.Control(h.localTime(), m))
}

// Serving reports whether the process is up and may handle traffic.
func (h *Host) Serving() bool {
	if !h.Up {
		return false
	}
	if h.Balancer != nil {
		return h.Balancer.Serving(h.localTime())
	}
	return h.Agent.Serving(h.localTime())
}

// PendingRumours returns the number of membership rumours that the process still has to
// send.
func (h *Host) PendingRumours() int {
	if h.Balancer != nil {
		return h.Balancer.Members().PendingRumours()
	}
	return h.Agent.Members().PendingRumours()
}

// Revision returns the revision of the configuration in force at the process.
func (h *Host) Revision() uint64 {
	if h.Balancer != nil {
		return h.Balancer.Config().Revision()
	}
	return h.Agent.Config().Revision()
}

// hostAddress returns the n-th address of 10.0.0.0/8.
func hostAddress(n int) string {
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}).String()
}
