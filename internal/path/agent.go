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
	"dogwoodlanding.example/dogwood/pkg/health"
	"dogwoodlanding.example/dogwood/pkg/sched"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"dogwoodlanding.example/dogwood/platform"
	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// queueInterval is the time between two runs of the timers while SYNs are queued.
const queueInterval = 20 * time.Millisecond

// loggedWait is the shortest wait of a request of an open flow that is logged. On a busy
// server most requests wait for some milliseconds, and their lines would take the log's
// rate from others.
const loggedWait = 100 * clock.Millis(1)

// serverCheckTimeout bounds the check at shutdown whether the server has ended. The
// server runs on the same host.
const serverCheckTimeout = 100 * time.Millisecond

// maxBalancers bounds the balancers to which an agent announces its shutdown.
const maxBalancers = 256

// Agent is the process on the host of a backend server that receives packets from
// balancers and delivers them to the server. Set the exported fields before Run.
type Agent struct {
	Settings     setup.PathAgent
	SettingsFile string // settings file to reload on changes, if not empty
	Log          *log.Logger
	Clock        clock.Clock
	DroppedLines func() uint64 // returns the number of dropped log lines, may be nil

	mu            sync.Mutex // guards core, limitedLog, pauses and balancers
	core          steer.Agent
	limitedLog    limitedLog
	pauses        pauseDetector
	balancers     map[netip.AddrPort]bool // from which messages were received
	packets       *net.UDPConn            // for messages from and to balancers
	outbound      *net.UDPConn            // for packets of the server and to callers
	server        *net.UDPConn            // connected to the server
	queueTimer    earlyTimer              // runs the timers early while SYNs are queued or a judged server must answer
	releaseBuffer []byte                  // of releaseQueued
	packetPort    uint16                  // of callers, the same as that of packets
	metricSet     *metrics.Set
	delivered     *metrics.Counter
	toCaller      *metrics.Counter
	answerTime    *metrics.Histogram                // from a request to the first byte of its answer
	queueTime     *metrics.Histogram                // how long SYNs were queued
	heldTime      [sched.Classes]*metrics.Histogram // how long work of each class was held, with Settings.Queue
	serviceLevel  serviceLevel
}

// init opens the sockets and sets the unexported fields.
func (a *Agent) init() error {
	var err error
	if a.packets, err = listen(a.Settings.Path.Packets); err != nil {
		return fmt.Errorf("listen on Path.Packets: %w", err)
	}
	if a.outbound, err = listen(a.Settings.Outbound); err != nil {
		return fmt.Errorf("listen on Outbound: %w", err)
	}
	server, err := netip.ParseAddrPort(a.Settings.Server)
	if err != nil {
		return fmt.Errorf("parse Server: %w", err)
	}
	if a.server, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(server)); err != nil {
		return fmt.Errorf("connect to Server: %w", err)
	}
	a.packetPort = a.packets.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	a.core.Service = steer.ServiceOf(a.Settings.Service)
	a.core.FlowLife = flowLife(a.Settings.Path)
	a.core.StartMs = int64(a.Clock.Now())
	if a.core.Disabled, err = disabledMechanisms(a.Log, a.Settings.Path); err != nil {
		return err
	}
	a.core.AllWork = a.Settings.Queue == setup.QueueAllWork
	if a.core.Order, err = a.Settings.Order(); err != nil {
		return err
	}
	a.limitedLog = newLimitedLog(a.Log)
	a.queueTimer = newEarlyTimer(queueInterval)
	a.balancers = make(map[netip.AddrPort]bool)
	a.releaseBuffer = make([]byte, headroom, headroom+maxPacketBytes)
	a.registerMetrics()
	if a.Settings.Health == setup.HealthByTraffic {
		a.judgeServer()
	}
	return nil
}

// registerMetrics creates the metrics and connects them to core.
func (a *Agent) registerMetrics() {
	a.metricSet = metrics.NewSet()
	registerDroppedLines(a.metricSet, a.DroppedLines)
	a.delivered = a.metricSet.NewCounter("dogwood_agent_delivered_total")
	a.toCaller = a.metricSet.NewCounter("dogwood_agent_to_caller_total")
	a.answerTime = a.metricSet.NewHistogram("dogwood_agent_answer_seconds")
	a.queueTime = a.metricSet.NewHistogram("dogwood_agent_wait_seconds")
	a.serviceLevel = serviceLevel{set: a.metricSet, clock: a.Clock, dataCentre: a.Settings.Path.DataCentre}
	a.core.Answered = func(took, goal clock.Millis) {
		a.answerTime.Update(took.Duration().Seconds())
		kind := burn.Good
		if goal > 0 && took > goal {
			kind = burn.LateAnswer
		}
		a.serviceLevel.add(a.Settings.Service, kind)
	}
	a.core.Unanswered = func() { a.serviceLevel.add(a.Settings.Service, burn.UnknownResult) }
	for name, read := range map[string]func(steer.Counts) uint64{
		"opened":     func(c steer.Counts) uint64 { return c.Opened },
		"denied":     func(c steer.Counts) uint64 { return c.Denied },
		"returned":   func(c steer.Counts) uint64 { return c.Returned },
		"restarts":   func(c steer.Counts) uint64 { return c.Restarts },
		"overloaded": func(c steer.Counts) uint64 { return c.Overloaded },
	} {
		a.metricSet.NewGauge("dogwood_agent_"+name+"_total", func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return float64(read(a.core.Counts()))
		})
	}
	if a.core.AllWork {
		a.registerQueueMetrics()
	}
	a.metricSet.NewGauge("dogwood_agent_load", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.core.Load())
	})
}

// registerQueueMetrics creates the metrics of the queue for all work, by class.
func (a *Agent) registerQueueMetrics() {
	for class := range sched.Classes {
		label := fmt.Sprintf(`class="%d"`, class)
		a.heldTime[class] = a.metricSet.NewHistogram("dogwood_agent_held_seconds{" + label + "}")
		gauge := func(name, labels string, read func(sched.Counts) uint64) {
			a.metricSet.NewGauge("dogwood_agent_"+name+"_total{"+labels+"}", func() float64 {
				a.mu.Lock()
				defer a.mu.Unlock()
				return float64(read(a.core.HeldCounts(class)))
			})
		}
		gauge("held", label, func(c sched.Counts) uint64 { return c.Held })
		gauge("held_late", label, func(c sched.Counts) uint64 { return c.Late })
		gauge("overtaken", label, func(c sched.Counts) uint64 { return c.Overtaken })
		for reason := range sched.ReasonCount {
			gauge("refused", fmt.Sprintf(`%s,reason="%v"`, label, sched.Reason(reason)), func(c sched.Counts) uint64 { return c.Refused[reason] })
		}
	}
}

// Run forwards packets until ctx is cancelled, and then announces the shutdown to the
// balancers.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.init(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	tasks := auxiliaryTasks{log: a.Log, path: a.Settings.Path, file: a.SettingsFile, metricSet: a.metricSet, ready: func() bool { return ctx.Err() == nil }, reload: a.reload}
	if err := tasks.start(background); err != nil {
		return err
	}
	go a.readBalancers()
	go a.readServer()
	go runEvery(background, time.Second, a.queueTimer.C, &a.mu, a.tick)
	a.Log.Info("started", "server", a.Settings.Server, "service", a.Settings.Service)
	<-ctx.Done()
	a.announceShutdown()
	a.Log.Info("stopped")
	return nil
}

// reload reads the settings file and applies the service and the log level, the settings
// that can change while the process runs.
func (a *Agent) reload() error {
	settings, err := setup.ReadPathAgent(a.SettingsFile)
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
	setLogLevel(a.Log, settings.Path.LogLevel)
	if needsStart(a.Settings.Path, settings.Path) || settings.Outbound != a.Settings.Outbound || settings.Server != a.Settings.Server ||
		settings.Queue != a.Settings.Queue || settings.QueueOrder != a.Settings.QueueOrder || settings.Health != a.Settings.Health {
		a.Log.Warn("changed settings take effect at the next start")
	}
	return nil
}

// announceShutdown notifies the balancers that this process ends, and whether the
// server has ended before it and so holds no flows.
func (a *Agent) announceShutdown() {
	a.mu.Lock()
	a.core.BeginShutdown()
	a.releaseQueued(a.Clock.Now())
	a.mu.Unlock()
	m := steer.Message{Kind: steer.Shutdown}
	ended, err := platform.ServerEnded(a.Settings.Server, serverCheckTimeout)
	if ended {
		m.Reason = steer.ServerGone
	}
	a.Log.Info("leaving", "serverEnded", ended, "err", err)
	a.mu.Lock()
	defer a.mu.Unlock()
	for to := range a.balancers {
		a.sendMessage(to, m)
	}
}

// readBalancers handles the messages of balancers until the socket fails.
func (a *Agent) readBalancers() {
	var m steer.Message
	newReceiver(a.Log, a.packets, &a.mu, a.metricSet, func(raw []byte, from netip.AddrPort) {
		now := a.Clock.Now()
		rest, err := m.Decode(raw[headroom:])
		if err != nil {
			a.limitedLog.info(now, "offer dropped", "from", from, "err", err)
			return
		}
		a.recordBalancer(from)
		if m.Kind == steer.Ping {
			a.sendMessage(from, a.core.AnswerPing(&m))
			return
		}
		if m.Kind == steer.QueryFlows {
			a.answerQuery(now, from, &m, rest)
			return
		}
		a.handleOffer(now, from, &m, raw, len(rest))
	}).run()
}

// answerQuery tells a balancer which of several flows the server holds.
func (a *Agent) answerQuery(now clock.Millis, from netip.AddrPort, m *steer.Message, encoded []byte) {
	flows, err := steer.DecodeFlows(encoded)
	if err != nil {
		a.limitedLog.info(now, "query dropped", "from", from, "err", err)
		return
	}
	for _, answer := range a.core.AnswerQuery(now, m, flows) {
		if answer.Message.Kind == steer.DenyFlows {
			a.limitedLog.info(now, "query", "decision", decisionText(steer.Deny, answer.Message.Reason), "flows", len(answer.Flows), "balancer", from.Addr())
		}
		a.limitedLog.sendOrLog(now, a.packets, answer.Encode(), from)
	}
}

// recordBalancer records a balancer that announceShutdown must notify.
func (a *Agent) recordBalancer(balancer netip.AddrPort) {
	if !a.balancers[balancer] && len(a.balancers) < maxBalancers {
		a.balancers[balancer] = true
	}
}

// handleOffer decides on an offered packet, the last packetLength bytes of raw.
func (a *Agent) handleOffer(now clock.Millis, from netip.AddrPort, m *steer.Message, raw []byte, packetLength int) {
	packet := raw[len(raw)-packetLength:]
	p, ok := platform.DecodeCallerPacket(packet)
	if !ok {
		a.limitedLog.info(now, "offer dropped", "from", from, "why", steer.Malformed)
		return
	}
	if p.SYN {
		a.checkSuspension(now)
	}
	out := a.core.FromBalancer(now, from, m, p)
	if out.Opened || out.Verdict == steer.Deny {
		state, revision := a.core.State()
		a.limitedLog.info(now, "offer", "flow", p.Key, "decision", decisionText(out.Verdict, out.Reason), "balancer", from.Addr(),
			"copy", p.Copy, "load", a.core.Load(), "slots", a.core.Slots, "state", state, "revision", revision)
	}
	a.execute(now, out, p, m, raw)
	a.releaseQueued(now)
}

// checkSuspension detects that the process was suspended.
func (a *Agent) checkSuspension(now clock.Millis) {
	if gap := a.pauses.sinceLastCall(); gap >= suspensionThreshold {
		a.core.RecordSuspension(now)
		a.Log.Warn("woken late", "slept", gap)
	}
}

// releaseQueued carries out the decisions on queued packets that can be decided on.
func (a *Agent) releaseQueued(now clock.Millis) {
	for {
		r, ok := a.core.Release(now)
		if !ok {
			break
		}
		a.queueTime.Update(r.Waited.Duration().Seconds())
		if a.core.AllWork {
			a.heldTime[sched.ClassOf(r.Priority)].Update(r.Waited.Duration().Seconds())
		}
		if r.Outcome.Reason != steer.KnownOwner || r.Waited >= loggedWait {
			a.limitedLog.info(now, "waited", "flow", r.Packet.Key, "decision", decisionText(r.Outcome.Verdict, r.Outcome.Reason),
				"waited", r.Waited, "load", a.core.Load(), "slots", a.core.Slots)
		}
		raw := append(a.releaseBuffer[:headroom], r.Raw...)
		a.execute(now, r.Outcome, r.Packet, r.Message, raw)
	}
	switch {
	case a.core.QueueLength() > 0:
		a.queueTimer.set(queueInterval)
	case a.core.AwaitsServer():
		a.queueTimer.set(health.TickInterval.Duration())
	}
}

// execute carries out a decision. The packet is at the end of raw, with space for the
// message m in front of it.
func (a *Agent) execute(now clock.Millis, out steer.Outcome, p steer.Packet, m *steer.Message, raw []byte) {
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
		end := len(raw)
		if m.PacketKept {
			end -= len(packet)
		}
		a.limitedLog.sendOrLog(now, a.packets, raw[start:end], out.To)
	case steer.Wait:
		a.core.KeepRaw(packet)
	case steer.ToCaller:
		a.toCaller.Inc()
		a.limitedLog.sendOrLog(now, a.outbound, packet, netip.AddrPortFrom(p.Key.Source().Addr(), a.packetPort))
	}
	if out.ReportTo.IsValid() {
		a.sendHoldFlow(out.ReportTo, p)
	}
}

// deliver sends a packet to the server. ECONNREFUSED reports that an earlier datagram
// was rejected and that this one was not sent, so the packet is then sent once more.
func (a *Agent) deliver(now clock.Millis, packet []byte) {
	_, err := a.server.Write(packet)
	if errors.Is(err, syscall.ECONNREFUSED) {
		if a.core.RecordRefusedConnection(now) {
			a.Log.Warn("server lost: nothing listens at its address", "server", a.Settings.Server)
		}
		_, err = a.server.Write(packet)
	}
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		a.limitedLog.info(now, "delivery failed", "err", err)
	}
}

// sendHoldFlow notifies a balancer that this agent holds the flow of p.
func (a *Agent) sendHoldFlow(to netip.AddrPort, p steer.Packet) {
	m := steer.Message{Kind: steer.HoldFlow, Key: p.Key, Load: a.core.Load(), Slots: a.core.Slots}
	a.core.Report(&m)
	a.sendMessage(to, m)
}

// sendMessage sends a message without a packet to a balancer.
func (a *Agent) sendMessage(to netip.AddrPort, m steer.Message) {
	a.limitedLog.sendOrLog(a.Clock.Now(), a.packets, encodeMessage(m), to)
}

// readServer handles the packets of the server until the socket fails.
func (a *Agent) readServer() {
	var m steer.Message
	newReceiver(a.Log, a.outbound, &a.mu, a.metricSet, func(raw []byte, _ netip.AddrPort) {
		now := a.Clock.Now()
		p, ok := platform.DecodeServerPacket(raw[headroom:])
		if !ok {
			a.limitedLog.info(now, "packet of the server dropped", "why", steer.Malformed)
			return
		}
		out := a.core.FromServer(now, p, &m)
		if p.Returned {
			a.limitedLog.info(now, "returned by the server", "flow", p.Key, "first", p.SYN, "decision", decisionText(out.Verdict, out.Reason))
		}
		a.execute(now, out, p, &m, raw)
		a.releaseQueued(now)
	}).run()
}

// tick runs the timers.
func (a *Agent) tick() {
	now := a.Clock.Now()
	a.queueTimer.fired()
	a.checkSuspension(now)
	a.core.Tick(now)
	a.releaseQueued(now)
}
