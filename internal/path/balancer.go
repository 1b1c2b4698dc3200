package path

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/pkg/burn"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/resync"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"dogwoodlanding.example/dogwood/platform"
	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// shutdownDelay is how long a balancer still forwards packets after it has become not
// ready: the routers check twice a second and act on the second failed check.
const shutdownDelay = 1600 * time.Millisecond

// maxStartupWait is how long packets of callers stay in the socket at the start, until
// the store has been listed: the shortest time that a caller waits for the answer to a
// SYN.
const maxStartupWait = 500 * time.Millisecond

// startInterval is the time between two runs of the timers while agents start.
const startInterval = 40 * time.Millisecond

// Balancer is the process on an entry host that receives packets from callers and
// forwards them to agents. Set the exported fields before Run.
type Balancer struct {
	Settings     setup.PathBalancer
	SettingsFile string // settings file to reload on changes, if not empty
	Log          *log.Logger
	Clock        clock.Clock
	DroppedLines func() uint64 // returns the number of dropped log lines, may be nil

	mu                sync.Mutex // guards core, limitedLog, pauses, shuttingDown, viewChangedAt, viewAsOf, resync and overdue
	core              steer.Balancer
	limitedLog        limitedLog
	pauses            pauseDetector
	shuttingDown      bool
	viewChangedAt     clock.Millis
	viewAsOf          clock.Millis  // when the last request that the store answered was sent
	startTimer        *time.Timer   // runs the timers early while agents start
	queryTimer        earlyTimer    // sends the next round of queries
	relistRequests    chan struct{} // requests a listing of the store, after a suspension
	refreshRequests   chan struct{} // requests an immediate answer of the store
	firstListing      chan struct{} // closed after the first listing
	closeFirstListing sync.Once
	batchPause        time.Duration        // last pause after changes; used by watchStore only
	storeEra          uint64               // of the last listing; used by watchStore only
	hasEra            bool                 // storeEra is set
	resync            resync.Policy        // decides on calls of the store
	configRevision    uint64               // of the last configuration applied; used by watchStore only
	overdue           map[resync.Keys]bool // keys whose view was logged as overdue
	packets           *net.UDPConn         // for packets of callers and resets to them
	agents            *net.UDPConn         // for messages from and to agents
	packetPort        uint16               // of callers and agents, the same as that of packets
	resumeBuffer      []byte               // of resumeParked, with space for a message and a packet
	stats             balancerMetrics
}

// balancerMetrics holds the metrics of a balancer.
type balancerMetrics struct {
	set       *metrics.Set
	decisions map[string]*metrics.Counter // by decisionText
	// Calls of the store by kind: listings, watches that wait for changes, and those that
	// return at once since a decision needs a fresh view.
	storeLists, storeWatches, storeRefreshes *metrics.Counter
	// viewAge is how old the view was when a newer answer of the store replaced it.
	viewAge       *metrics.Histogram
	storeFailures *metrics.Counter
	// queries counts the messages that asked agents about flows, queriedFlows those flows.
	queries, queriedFlows *metrics.Counter
	storeRestores         *metrics.Counter
	listTime              *metrics.Histogram
	transfer              transferMetrics
	serviceLevel          serviceLevel
	rooms                 map[string]bool // services whose estimates have metrics
}

// init opens the sockets and sets the unexported fields.
func (b *Balancer) init() error {
	var err error
	if b.packets, err = listen(b.Settings.Path.Packets); err != nil {
		return fmt.Errorf("listen on Path.Packets: %w", err)
	}
	if b.agents, err = listen(b.Settings.Agents); err != nil {
		return fmt.Errorf("listen on Agents: %w", err)
	}
	b.packetPort = b.packets.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	b.core.CacheFlows = b.Settings.CacheFlows
	b.core.ByRoom = b.Settings.Balance == setup.BalanceByRoom
	b.core.Registry.FlowLife = flowLife(b.Settings.Path)
	if b.core.Disabled, err = disabledMechanisms(b.Log, b.Settings.Path); err != nil {
		return err
	}
	b.core.Registry.Disabled = b.core.Disabled
	b.core.Registry.DataCentre = b.Settings.Path.DataCentre
	b.core.EvacuationGracePeriod = clock.Millis(b.Settings.EvacuateMs)
	b.limitedLog = newLimitedLog(b.Log)
	b.resumeBuffer = make([]byte, headroom+maxPacketBytes)
	b.startTimer, b.queryTimer = time.NewTimer(tickInterval), newEarlyTimer(tickInterval)
	b.relistRequests, b.refreshRequests, b.firstListing = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	set := metrics.NewSet()
	registerDroppedLines(set, b.DroppedLines)
	b.stats = balancerMetrics{
		set: set, decisions: make(map[string]*metrics.Counter), rooms: make(map[string]bool),
		storeLists:     set.NewCounter(`dogwood_store_calls_total{kind="List"}`),
		storeWatches:   set.NewCounter(`dogwood_store_calls_total{kind="Watch"}`),
		storeRefreshes: set.NewCounter(`dogwood_store_calls_total{kind="Refresh"}`),
		viewAge:        set.NewHistogram("dogwood_view_age_seconds"),
		storeFailures:  set.NewCounter("dogwood_store_failures_total"),
		storeRestores:  set.NewCounter("dogwood_store_restores_total"),
		listTime:       set.NewHistogram("dogwood_store_list_seconds"),
		queries:        set.NewCounter("dogwood_balancer_queries_total"),
		queriedFlows:   set.NewCounter("dogwood_balancer_queried_flows_total"),
	}
	b.initResync()
	b.stats.serviceLevel = serviceLevel{set: set, clock: b.Clock, dataCentre: b.Settings.Path.DataCentre}
	return nil
}

// Run forwards packets until ctx is cancelled and the routers have had time to remove
// the balancer.
func (b *Balancer) Run(ctx context.Context) error {
	if err := b.init(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	tasks := auxiliaryTasks{log: b.Log, path: b.Settings.Path, file: b.SettingsFile, metricSet: b.stats.set, ready: b.ready, reload: b.reload}
	if err := tasks.start(background); err != nil {
		return err
	}
	store := newStore(b.Settings.Store, b.Clock, b.logInvalidEntry, b.requestRefresh, b.stats.transfer.count)
	go b.watchStore(background, store)
	go func() {
		b.awaitFirstListing(background)
		b.readCallers()
	}()
	go b.readAgents()
	go runEvery(background, tickInterval, b.startTimer.C, &b.mu, b.tick)
	go runEvery(background, tickInterval, b.queryTimer.C, &b.mu, b.queryTimerFired)
	b.Log.Info("started", "packets", b.Settings.Path.Packets, "store", b.Settings.Store, "balance", b.Settings.Balance)
	<-ctx.Done()
	b.mu.Lock()
	b.shuttingDown = true
	b.mu.Unlock()
	b.Log.Info("stopping", "after", shutdownDelay)
	time.Sleep(shutdownDelay)
	b.Log.Info("stopped")
	return nil
}

// reload reads the settings file and applies EvacuateMs and the log level, the settings
// that can change while the process runs.
func (b *Balancer) reload() error {
	settings, err := setup.ReadPathBalancer(b.SettingsFile)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.EvacuationGracePeriod = clock.Millis(settings.EvacuateMs)
	setLogLevel(b.Log, settings.Path.LogLevel)
	if needsStart(b.Settings.Path, settings.Path) || settings.Store != b.Settings.Store || settings.Agents != b.Settings.Agents || settings.Balance != b.Settings.Balance {
		b.Log.Warn("changed settings take effect at the next start")
	}
	return nil
}

// ready reports whether the routers may send packets to the balancer.
func (b *Balancer) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.shuttingDown && b.core.Ready(b.Clock.Now())
}

// awaitFirstListing waits for the first listing of the store, but not longer than
// maxStartupWait. Packets that arrive meanwhile stay in the socket instead of being
// dropped.
func (b *Balancer) awaitFirstListing(ctx context.Context) {
	timer := time.NewTimer(maxStartupWait)
	defer timer.Stop()
	select {
	case <-b.firstListing:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readCallers handles the packets of callers until the socket fails.
func (b *Balancer) readCallers() {
	var m steer.Message
	newReceiver(b.Log, b.packets, &b.mu, b.stats.set, func(raw []byte, from netip.AddrPort) {
		now := b.Clock.Now()
		p, ok := platform.DecodeCallerPacket(raw[headroom:])
		if !ok {
			b.countDecision(steer.Drop, steer.Malformed)
			b.limitedLog.info(now, "packet dropped", "from", from, "why", steer.Malformed)
			return
		}
		if p.SYN {
			b.checkSuspension(now)
		}
		d := b.core.FromCaller(now, p, &m)
		b.recordDecision(now, p, d, &m)
		b.execute(d, p, &m, raw)
		if d.Verdict == steer.Wait {
			b.resumeParked(now)
		}
	}).run()
}

// readAgents handles the messages of agents until the socket fails.
func (b *Balancer) readAgents() {
	var m steer.Message
	newReceiver(b.Log, b.agents, &b.mu, b.stats.set, func(raw []byte, from netip.AddrPort) {
		now, agent := b.Clock.Now(), steer.AgentOf(from.Addr())
		rest, err := m.Decode(raw[headroom:])
		switch {
		case err != nil:
			b.limitedLog.info(now, "message dropped", "from", from, "err", err)
		case m.Kind == steer.DenyPacket && m.PacketKept && len(rest) == 0:
			b.core.DeniedKept(now, agent, &m)
		case m.Kind == steer.DenyPacket:
			b.handleDenial(now, agent, &m, raw, len(rest))
		case m.Kind == steer.DenyFlows:
			b.handleDeniedFlows(now, agent, &m, rest)
		case b.core.HandleMessage(now, agent, &m):
			b.Log.Info("agent regained", "agent", from.Addr())
		}
		b.resumeParked(now)
	}).run()
}

// handleDenial decides on a packet that an agent has denied, the last packetLength
// bytes of raw.
func (b *Balancer) handleDenial(now clock.Millis, agent place.ID, m *steer.Message, raw []byte, packetLength int) {
	packet := raw[len(raw)-packetLength:]
	p, ok := platform.DecodeCallerPacket(packet)
	if !ok {
		b.countDecision(steer.Drop, steer.Malformed)
		b.limitedLog.info(now, "denied packet dropped", "agent", steer.AddrOf(agent), "why", steer.Malformed)
		return
	}
	if p.SYN {
		b.checkSuspension(now)
	}
	reason := m.Reason
	d := b.core.Denied(now, agent, p, m)
	b.limitedLog.info(now, "flow denied", "flow", p.Key, "agent", steer.AddrOf(agent), "why", reason,
		"load", m.Load, "slots", m.Slots, "then", decisionText(d.Verdict, d.Reason), "to", steer.AddrOf(d.To))
	b.countDecision(d.Verdict, d.Reason)
	b.execute(d, p, m, raw)
}

// handleDeniedFlows handles an agent's denial of flows that a query asked about.
func (b *Balancer) handleDeniedFlows(now clock.Millis, agent place.ID, m *steer.Message, encoded []byte) {
	flows, err := steer.DecodeFlows(encoded)
	if err != nil {
		b.limitedLog.info(now, "message dropped", "from", steer.AddrOf(agent), "err", err)
		return
	}
	b.core.DeniedFlows(now, agent, m, flows)
}

// recordDecision counts a decision. It logs it unless the owner of the flow is known,
// or the packet is the original SYN of a new flow.
func (b *Balancer) recordDecision(now clock.Millis, p steer.Packet, d steer.Decision, m *steer.Message) {
	b.countDecision(d.Verdict, d.Reason)
	if d.Verdict == steer.Offer && d.Reason == steer.KnownOwner {
		return
	}
	if d.Verdict == steer.Offer && d.Reason == steer.NewFlow && p.Copy == 0 {
		return // the agent that opens the flow logs it
	}
	b.limitedLog.info(now, "flow", "flow", p.Key, "decision", decisionText(d.Verdict, d.Reason), "to", steer.AddrOf(d.To),
		"copy", p.Copy, "revision", m.Revision, "viewAge", now-b.viewChangedAt)
}

// countDecision adds 1 to the counter of a verdict and reason.
func (b *Balancer) countDecision(v steer.Verdict, r steer.Reason) {
	key := decisionText(v, r)
	c := b.stats.decisions[key]
	if c == nil {
		c = b.stats.set.NewCounter(fmt.Sprintf("dogwood_balancer_packets_total{verdict=%q,reason=%q}", v, r))
		b.stats.decisions[key] = c
	}
	c.Inc()
}

// execute carries out a decision. The packet is at the end of raw, with space for the
// message m in front of it.
func (b *Balancer) execute(d steer.Decision, p steer.Packet, m *steer.Message, raw []byte) {
	switch d.Verdict {
	case steer.Offer:
		start := len(raw) - platform.HeaderBytes - p.Bytes - m.Size()
		m.Encode(raw[start:])
		b.limitedLog.sendOrLog(b.Clock.Now(), b.agents, raw[start:], netip.AddrPortFrom(steer.AddrOf(d.To), b.packetPort))
	case steer.Wait:
		b.core.KeepRaw(raw[len(raw)-platform.HeaderBytes-p.Bytes:])
		if d.Reason == steer.StaleView {
			b.requestRefresh()
		}
	case steer.Refuse:
		if p.RST {
			return
		}
		b.countReset(d)
		var reset [platform.HeaderBytes]byte
		b.limitedLog.sendOrLog(b.Clock.Now(), b.packets, platform.AppendReset(reset[:0], p), netip.AddrPortFrom(p.Key.Source().Addr(), b.packetPort))
	}
}

// countReset counts a reset against the service level of the decision's service. Flows
// that no route matches belong to no service.
func (b *Balancer) countReset(d steer.Decision) {
	switch {
	case d.Service == "":
	case d.Reason == steer.AllDenied:
		b.stats.serviceLevel.add(d.Service, burn.BrokenFlow)
	default:
		b.stats.serviceLevel.add(d.Service, burn.RefusedWork)
	}
}

// resumeParked carries out the decisions on parked packets that can be decided on.
func (b *Balancer) resumeParked(now clock.Millis) {
	defer b.sendQueries()
	for {
		r, ok := b.core.Resume(now)
		if !ok {
			return
		}
		b.countDecision(r.Decision.Verdict, r.Decision.Reason)
		if r.Decision.Reason != steer.Searching || !r.Message.PacketKept { // a search logs only its beginning and its end
			b.limitedLog.info(now, "resumed", "flow", r.Packet.Key, "decision", decisionText(r.Decision.Verdict, r.Decision.Reason),
				"to", steer.AddrOf(r.Decision.To), "waited", r.Waited, "viewAge", now-b.viewChangedAt)
		}
		raw := append(b.resumeBuffer[:headroom], r.Raw...)
		b.execute(r.Decision, r.Packet, r.Message, raw)
	}
}

// queryTimerFired sends the queries that have waited for their round.
func (b *Balancer) queryTimerFired() {
	b.queryTimer.fired()
	b.sendQueries()
}

// sendQueries sends the queries to agents that are due.
func (b *Balancer) sendQueries() {
	now := b.Clock.Now()
	for {
		q, ok := b.core.NextQuery(now)
		if !ok {
			break
		}
		b.stats.queries.Inc()
		b.stats.queriedFlows.Add(len(q.Flows))
		b.limitedLog.sendOrLog(now, b.agents, q.Encode(), netip.AddrPortFrom(steer.AddrOf(q.To), b.packetPort))
	}
	if delay, waiting := b.core.QueryDelay(now); waiting {
		b.queryTimer.set(delay.Duration())
	}
}

// tick runs the timers.
func (b *Balancer) tick() {
	now := b.Clock.Now()
	b.checkSuspension(now)
	b.checkOverdue(now)
	for _, s := range b.core.Tick(now, b.sendPing) {
		b.Log.Warn("agent lost", "agent", steer.AddrOf(s.Agent), "unanswered", now-s.Since)
	}
	if b.core.Starting() {
		b.startTimer.Reset(startInterval)
	}
	b.logEvents(now, b.core.Registry.ApplyHeld(now), 0)
	b.resumeParked(now)
	b.registerRooms()
}

// sendPing probes an agent.
func (b *Balancer) sendPing(agent place.ID) {
	b.limitedLog.sendOrLog(b.Clock.Now(), b.agents, encodeMessage(b.core.Ping()), netip.AddrPortFrom(steer.AddrOf(agent), b.packetPort))
}

// checkSuspension detects that the process did not run. After a pause, SYNs are not
// refused for a short time. After a suspension, new flows are dropped until the store
// has been listed again.
func (b *Balancer) checkSuspension(now clock.Millis) {
	gap := b.pauses.sinceLastCall()
	if gap < pauseThreshold {
		return
	}
	b.core.RecordPause(now)
	b.Log.Warn("woken late", "slept", gap)
	if gap < suspensionThreshold {
		return
	}
	b.core.RecordSuspension()
	select {
	case b.relistRequests <- struct{}{}:
	default:
	}
}

// logInvalidEntry logs an entry of the store that is ignored.
func (b *Balancer) logInvalidEntry(key string, revision uint64, err error) {
	b.Log.Warn("entry ignored", "key", key, "revision", revision, "err", err)
}
