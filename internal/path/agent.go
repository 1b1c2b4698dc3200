package path

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/pkg/burn"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"dogwoodlanding.example/dogwood/platform"
	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// queueInterval is the time between two looks at first packets that wait.
const queueInterval = 20 * time.Millisecond

// endedTimeout bounds the question whether the server has ended: it is answered
// on the same host.
const endedTimeout = 100 * time.Millisecond

// maxBalancers bounds the balancers that a stopping agent says goodbye to.
const maxBalancers = 256

// Agent is the process beside a backend server. Set the exported fields before
// Run.
type Agent struct {
	Settings setup.PathAgent
	File     string // that the settings are read from again, if not empty
	Log      *log.Logger
	Clock    clock.Clock
	Dropped  func() uint64 // log lines that were dropped, if it can be told

	mu        sync.Mutex // guards core, journal and balancers
	core      steer.Agent
	journal   journal
	wake      wake
	balancers map[netip.AddrPort]bool // that have sent something
	packets   *net.UDPConn            // balancers' offers
	outbound  *net.UDPConn            // the server's packets
	server    *net.UDPConn            // connected to the server
	soon      *time.Timer             // runs the timers early while first packets wait
	port      uint16                  // that callers take packets at
	set       *metrics.Set
	delivered *metrics.Counter
	toCaller  *metrics.Counter
	answer    *metrics.Histogram // from a request to the first byte of its answer
	waited    *metrics.Histogram // of first packets that waited
	level     level
}

func (a *Agent) init() error {
	var err error
	if a.packets, err = listen(a.Settings.Path.Packets); err != nil {
		return fmt.Errorf("open Path.Packets: %w", err)
	}
	if a.outbound, err = listen(a.Settings.Outbound); err != nil {
		return fmt.Errorf("open Outbound: %w", err)
	}
	server, err := netip.ParseAddrPort(a.Settings.Server)
	if err != nil {
		return fmt.Errorf("read Server: %w", err)
	}
	if a.server, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(server)); err != nil {
		return fmt.Errorf("open a socket to Server: %w", err)
	}
	a.port = a.packets.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	a.core.Service = steer.ServiceOf(a.Settings.Service)
	a.core.FlowLife = flowLife(a.Settings.Path)
	a.journal = newJournal(a.Log)
	a.soon = time.NewTimer(queueInterval)
	a.balancers = make(map[netip.AddrPort]bool)
	a.metrics()
	return nil
}

func (a *Agent) metrics() {
	a.set = metrics.NewSet()
	countDropped(a.set, a.Dropped)
	a.delivered = a.set.NewCounter("dogwood_agent_delivered_total")
	a.toCaller = a.set.NewCounter("dogwood_agent_to_caller_total")
	a.answer = a.set.NewHistogram("dogwood_agent_answer_seconds")
	a.waited = a.set.NewHistogram("dogwood_agent_wait_seconds")
	a.level = level{set: a.set, clock: a.Clock, centre: a.Settings.Path.DataCentre}
	a.core.Answered = func(took, goal clock.Millis) {
		a.answer.Update(took.Duration().Seconds())
		kind := burn.Good
		if goal > 0 && took > goal {
			kind = burn.LateAnswer
		}
		a.level.add(a.Settings.Service, kind)
	}
	a.core.Unanswered = func() { a.level.add(a.Settings.Service, burn.UnknownResult) }
	for name, read := range map[string]func(steer.Counts) uint64{
		"opened":     func(c steer.Counts) uint64 { return c.Opened },
		"denied":     func(c steer.Counts) uint64 { return c.Denied },
		"returned":   func(c steer.Counts) uint64 { return c.Returned },
		"restarts":   func(c steer.Counts) uint64 { return c.Restarts },
		"overloaded": func(c steer.Counts) uint64 { return c.Overloaded },
	} {
		a.set.NewGauge("dogwood_agent_"+name+"_total", func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return float64(read(a.core.Counts()))
		})
	}
	a.set.NewGauge("dogwood_agent_load", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.core.Load())
	})
}

// Run forwards packets until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.init(); err != nil {
		return err
	}
	running, end := context.WithCancel(context.Background())
	defer end()
	pages := serviced{log: a.Log, path: a.Settings.Path, file: a.File, set: a.set, ready: func() bool { return ctx.Err() == nil }, reload: a.reload}
	if err := pages.start(running); err != nil {
		return err
	}
	go a.readBalancers()
	go a.readServer()
	go every(running, time.Second, a.soon.C, &a.mu, a.tick)
	a.Log.Info("started", "server", a.Settings.Server, "service", a.Settings.Service)
	<-ctx.Done()
	a.goodbye()
	a.Log.Info("stopped")
	return nil
}

// reload takes the settings that may change while the process runs.
func (a *Agent) reload() error {
	settings, err := setup.ReadPathAgent(a.File)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if service := steer.ServiceOf(settings.Service); service != a.core.Service {
		a.core.SetService(service)
		a.Settings.Service = settings.Service
		a.Log.Warn("belief", "subject", "service of the server", "state", settings.Service)
	}
	if fixed(settings.Path) != fixed(a.Settings.Path) || settings.Outbound != a.Settings.Outbound || settings.Server != a.Settings.Server {
		a.Log.Warn("changed addresses take effect at the next start")
	}
	return nil
}

// goodbye tells the balancers that this process ends, and whether the server has
// ended before it, with its flows.
func (a *Agent) goodbye() {
	a.mu.Lock()
	a.core.BeginShutdown()
	a.mu.Unlock()
	m := steer.Message{Kind: steer.Shutdown}
	ended, err := platform.ServerEnded(a.Settings.Server, endedTimeout)
	if ended {
		m.Reason = steer.ServerGone
	}
	a.Log.Info("leaving", "serverEnded", ended, "err", err)
	a.mu.Lock()
	defer a.mu.Unlock()
	for to := range a.balancers {
		a.tell(to, m)
	}
}

// readBalancers handles the balancers' offers.
func (a *Agent) readBalancers() {
	var m steer.Message
	receive(a.Log, a.packets, &a.mu, func(raw []byte, from netip.AddrPort) {
		now := a.Clock.Now()
		rest, err := m.Decode(raw[headRoom:])
		if err != nil {
			a.journal.line(now, "offer dropped", "from", from, "err", err)
			return
		}
		a.known(from)
		if m.Kind == steer.Ping {
			a.pong(from)
			return
		}
		a.offered(now, from, &m, raw, len(rest))
	})
}

func (a *Agent) known(balancer netip.AddrPort) {
	if !a.balancers[balancer] && len(a.balancers) < maxBalancers {
		a.balancers[balancer] = true
	}
}

func (a *Agent) offered(now clock.Millis, from netip.AddrPort, m *steer.Message, raw []byte, length int) {
	packet := raw[len(raw)-length:]
	p, ok := platform.DecodeCallerPacket(packet)
	if !ok {
		a.journal.line(now, "offer dropped", "from", from, "why", steer.Malformed)
		return
	}
	if p.SYN {
		a.checkSleep(now)
	}
	out := a.core.FromBalancer(now, from, m, p)
	if out.Opened || out.Verdict == steer.Deny {
		state, revision := a.core.State()
		a.journal.line(now, "offer", "flow", p.Key, "decision", cause(out.Verdict, out.Reason), "balancer", from.Addr(),
			"copy", p.Copy, "load", a.core.Load(), "slots", a.core.Slots, "state", state, "revision", revision)
	}
	a.act(now, out, p, m, raw)
	a.release(now)
}

// checkSleep notices that the process has slept.
func (a *Agent) checkSleep(now clock.Millis) {
	if gap := a.wake.gap(); gap >= sleptFor {
		a.core.RecordSuspension(now)
		a.Log.Warn("woken late", "slept", gap)
	}
}

// release lets waiting first packets go.
func (a *Agent) release(now clock.Millis) {
	for {
		r, ok := a.core.Release(now)
		if !ok {
			break
		}
		a.waited.Update(r.Waited.Duration().Seconds())
		a.journal.line(now, "waited", "flow", r.Packet.Key, "decision", cause(r.Outcome.Verdict, r.Outcome.Reason),
			"waited", r.Waited, "load", a.core.Load(), "slots", a.core.Slots)
		raw := append(make([]byte, headRoom, headRoom+len(r.Raw)), r.Raw...)
		a.act(now, r.Outcome, r.Packet, r.Message, raw)
	}
	if a.core.QueueLength() > 0 {
		a.soon.Reset(queueInterval)
	}
}

// act carries out a decision. The packet ends the raw bytes.
func (a *Agent) act(now clock.Millis, out steer.Outcome, p steer.Packet, m *steer.Message, raw []byte) {
	packet := raw[len(raw)-platform.HeaderBytes-p.Bytes:]
	switch out.Verdict {
	case steer.Deliver:
		platform.ClearTransitFields(packet)
		a.delivered.Inc()
		a.deliver(now, packet)
	case steer.Deny:
		platform.ClearTransitFields(packet)
		start := len(raw) - len(packet) - m.Size()
		m.Encode(raw[start:])
		a.journal.send(now, a.packets, raw[start:], out.To)
	case steer.Wait:
		a.core.KeepRaw(packet)
	case steer.ToCaller:
		a.toCaller.Inc()
		a.journal.send(now, a.outbound, packet, netip.AddrPortFrom(p.Key.Source().Addr(), a.port))
	}
	if out.ReportTo.IsValid() {
		a.hold(out.ReportTo, p)
	}
}

func (a *Agent) deliver(now clock.Millis, packet []byte) {
	_, err := a.server.Write(packet)
	if errors.Is(err, syscall.ECONNREFUSED) {
		if a.core.RecordRefusedConnection(now) {
			a.Log.Warn("server lost: nothing listens at its address", "server", a.Settings.Server)
		}
		_, err = a.server.Write(packet)
	}
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		a.journal.line(now, "delivery failed", "err", err)
	}
}

// hold tells a balancer that the server holds a flow.
func (a *Agent) hold(to netip.AddrPort, p steer.Packet) {
	a.tell(to, steer.Message{Kind: steer.HoldFlow, Key: p.Key, Load: a.core.Load(), Slots: a.core.Slots})
}

func (a *Agent) pong(to netip.AddrPort) {
	a.tell(to, steer.Message{Kind: steer.Pong, Load: a.core.Load(), Slots: a.core.Slots})
}

// tell sends a message without a packet to a balancer.
func (a *Agent) tell(to netip.AddrPort, m steer.Message) {
	a.journal.send(a.Clock.Now(), a.packets, encode(m), to)
}

// readServer handles the server's packets.
func (a *Agent) readServer() {
	var m steer.Message
	receive(a.Log, a.outbound, &a.mu, func(raw []byte, _ netip.AddrPort) {
		now := a.Clock.Now()
		p, ok := platform.DecodeServerPacket(raw[headRoom:])
		if !ok {
			a.journal.line(now, "packet of the server dropped", "why", steer.Malformed)
			return
		}
		out := a.core.FromServer(now, p, &m)
		if p.Returned {
			a.journal.line(now, "returned by the server", "flow", p.Key, "first", p.SYN, "decision", cause(out.Verdict, out.Reason))
		}
		a.act(now, out, p, &m, raw)
		a.release(now)
	})
}

// tick runs the timers.
func (a *Agent) tick() {
	now := a.Clock.Now()
	a.checkSleep(now)
	a.core.Tick(now)
	a.release(now)
}
