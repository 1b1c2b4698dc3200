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
	"dogwoodlanding.example/dogwood/pkg/steer"
	"dogwoodlanding.example/dogwood/platform"
	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// leaveAfter is how long a balancer goes on after it has turned not ready: the
// routers ask twice a second and believe the second miss.
const leaveAfter = 1600 * time.Millisecond

// longestStart is how long callers' packets are kept at the start: as long as
// a caller waits at least for the answer to a first packet.
const longestStart = 500 * time.Millisecond

// Balancer is the process on an entry host. Set the exported fields before Run.
type Balancer struct {
	Settings setup.PathBalancer
	File     string // that the settings are read from again, if not empty
	Log      *log.Logger
	Clock    clock.Clock
	Dropped  func() uint64 // log lines that were dropped, if it can be told

	mu          sync.Mutex // guards core, journal, wake, changed and leaving
	core        steer.Balancer
	journal     journal
	wake        wake
	leaving     bool
	changed     clock.Millis  // when the view last changed
	refresh     chan struct{} // wakes the watch when the view must be read again
	tooOld      chan struct{} // makes the watch ask at once, since a decision waits for it
	listed      chan struct{} // closed by the first listing
	closeListed sync.Once
	gather      time.Duration // last pause after changes; of the watch's goroutine
	packets     *net.UDPConn
	agents      *net.UDPConn
	port        uint16 // that callers and agents take packets at
	counters    balancerCounters
}

// balancerCounters are the metrics of a balancer.
type balancerCounters struct {
	set       *metrics.Set
	verdicts  map[string]*metrics.Counter
	storeCall *metrics.Counter
	storeFail *metrics.Counter
	storeTime *metrics.Histogram
	level     level
}

func (b *Balancer) init() error {
	var err error
	if b.packets, err = listen(b.Settings.Path.Packets); err != nil {
		return fmt.Errorf("open Path.Packets: %w", err)
	}
	if b.agents, err = listen(b.Settings.Agents); err != nil {
		return fmt.Errorf("open Agents: %w", err)
	}
	b.port = b.packets.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	b.core.CacheFlows = b.Settings.CacheFlows
	b.core.Registry.FlowLife = flowLife(b.Settings.Path)
	b.core.EvacuationGracePeriod = clock.Millis(b.Settings.EvacuateMs)
	b.journal = newJournal(b.Log)
	b.refresh, b.tooOld, b.listed = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	set := metrics.NewSet()
	countDropped(set, b.Dropped)
	b.counters = balancerCounters{
		set: set, verdicts: make(map[string]*metrics.Counter),
		storeCall: set.NewCounter("dogwood_store_calls_total"),
		storeFail: set.NewCounter("dogwood_store_failures_total"),
		storeTime: set.NewHistogram("dogwood_store_list_seconds"),
	}
	b.counters.level = level{set: set, clock: b.Clock, centre: b.Settings.Path.DataCentre}
	return nil
}

// Run forwards packets until the context ends and the routers have turned away.
func (b *Balancer) Run(ctx context.Context) error {
	if err := b.init(); err != nil {
		return err
	}
	running, end := context.WithCancel(context.Background())
	defer end()
	pages := serviced{log: b.Log, path: b.Settings.Path, file: b.File, set: b.counters.set, ready: b.ready, reload: b.reload}
	if err := pages.start(running); err != nil {
		return err
	}
	store := newStore(b.Settings.Store, b.Clock, b.faulty)
	go b.watchStore(running, store)
	go func() {
		b.awaitView(running)
		b.readCallers()
	}()
	go b.readAgents()
	go every(running, tickInterval, nil, &b.mu, b.tick)
	b.Log.Info("started", "packets", b.Settings.Path.Packets, "store", b.Settings.Store)
	<-ctx.Done()
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.Log.Info("stopping", "after", leaveAfter)
	time.Sleep(leaveAfter)
	b.Log.Info("stopped")
	return nil
}

// reload takes the settings that may change while the process runs.
func (b *Balancer) reload() error {
	settings, err := setup.ReadPathBalancer(b.File)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.EvacuationGracePeriod = clock.Millis(settings.EvacuateMs)
	if fixed(settings.Path) != fixed(b.Settings.Path) || settings.Store != b.Settings.Store || settings.Agents != b.Settings.Agents {
		b.Log.Warn("changed addresses take effect at the next start")
	}
	return nil
}

// ready reports whether the routers may send packets.
func (b *Balancer) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.leaving && b.core.Ready(b.Clock.Now())
}

// awaitView waits until the first view is in force, so that packets which come
// while the store is being listed are kept by the kernel and not dropped.
func (b *Balancer) awaitView(ctx context.Context) {
	timer := time.NewTimer(longestStart)
	defer timer.Stop()
	select {
	case <-b.listed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readCallers handles the callers' packets.
func (b *Balancer) readCallers() {
	var m steer.Message
	receive(b.Log, b.packets, &b.mu, func(raw []byte, from netip.AddrPort) {
		now := b.Clock.Now()
		p, ok := platform.DecodeCallerPacket(raw[headRoom:])
		if !ok {
			b.count(steer.Drop, steer.Malformed)
			b.journal.line(now, "packet dropped", "from", from, "why", steer.Malformed)
			return
		}
		if p.SYN {
			b.checkSleep(now)
		}
		d := b.core.FromCaller(now, p, &m)
		b.note(now, p, d, &m)
		b.act(d, p, &m, raw)
	})
}

// readAgents handles the agents' messages.
func (b *Balancer) readAgents() {
	var m steer.Message
	receive(b.Log, b.agents, &b.mu, func(raw []byte, from netip.AddrPort) {
		now, agent := b.Clock.Now(), steer.AgentOf(from.Addr())
		rest, err := m.Decode(raw[headRoom:])
		switch {
		case err != nil:
			b.journal.line(now, "message dropped", "from", from, "err", err)
		case m.Kind == steer.DenyPacket:
			b.denied(now, agent, &m, raw, len(rest))
		case b.core.HandleMessage(now, agent, &m):
			b.Log.Info("agent regained", "agent", from.Addr())
		}
	})
}

func (b *Balancer) denied(now clock.Millis, agent place.ID, m *steer.Message, raw []byte, length int) {
	packet := raw[len(raw)-length:]
	p, ok := platform.DecodeCallerPacket(packet)
	if !ok {
		b.count(steer.Drop, steer.Malformed)
		b.journal.line(now, "denied packet dropped", "agent", steer.AddrOf(agent), "why", steer.Malformed)
		return
	}
	if p.SYN {
		b.checkSleep(now)
	}
	reason := m.Reason
	d := b.core.Denied(now, agent, p, m)
	b.journal.line(now, "flow denied", "flow", p.Key, "agent", steer.AddrOf(agent), "why", reason,
		"load", m.Load, "slots", m.Slots, "then", cause(d.Verdict, d.Reason), "to", steer.AddrOf(d.To))
	b.count(d.Verdict, d.Reason)
	b.act(d, p, m, raw)
}

// note logs and counts a decision. Packets of known flows are only counted.
func (b *Balancer) note(now clock.Millis, p steer.Packet, d steer.Decision, m *steer.Message) {
	b.count(d.Verdict, d.Reason)
	if d.Verdict == steer.Offer && d.Reason == steer.KnownOwner {
		return
	}
	if d.Verdict == steer.Offer && d.Reason == steer.NewFlow && p.Copy == 0 {
		return // the agent logs who opened it
	}
	b.journal.line(now, "flow", "flow", p.Key, "decision", cause(d.Verdict, d.Reason), "to", steer.AddrOf(d.To),
		"copy", p.Copy, "revision", m.Revision, "viewAge", now-b.changed)
}

func (b *Balancer) count(v steer.Verdict, r steer.Reason) {
	key := cause(v, r)
	c := b.counters.verdicts[key]
	if c == nil {
		c = b.counters.set.NewCounter(fmt.Sprintf("dogwood_balancer_packets_total{verdict=%q,reason=%q}", v, r))
		b.counters.verdicts[key] = c
	}
	c.Inc()
}

// act sends what was decided. The packet ends the raw bytes; the message goes
// right before it.
func (b *Balancer) act(d steer.Decision, p steer.Packet, m *steer.Message, raw []byte) {
	switch d.Verdict {
	case steer.Offer:
		start := len(raw) - platform.HeaderBytes - p.Bytes - m.Size()
		m.Encode(raw[start:])
		b.journal.send(b.Clock.Now(), b.agents, raw[start:], netip.AddrPortFrom(steer.AddrOf(d.To), b.port))
	case steer.Wait:
		b.core.KeepRaw(raw[len(raw)-platform.HeaderBytes-p.Bytes:])
		b.askNow()
	case steer.Refuse:
		if p.RST {
			return
		}
		b.spent(d)
		var reset [platform.HeaderBytes]byte
		b.journal.send(b.Clock.Now(), b.packets, platform.AppendReset(reset[:0], p), netip.AddrPortFrom(p.Key.Source().Addr(), b.port))
	}
}

// spent counts a reset against the service level. What no route matches is owed to
// nobody.
func (b *Balancer) spent(d steer.Decision) {
	switch {
	case d.Service == "":
	case d.Reason == steer.AllDenied:
		b.counters.level.add(d.Service, burn.BrokenFlow)
	default:
		b.counters.level.add(d.Service, burn.RefusedWork)
	}
}

// resume decides on the packets that have waited for a fresh view.
func (b *Balancer) resume(now clock.Millis) {
	for {
		r, ok := b.core.Resume(now)
		if !ok {
			return
		}
		b.count(r.Decision.Verdict, r.Decision.Reason)
		b.journal.line(now, "resumed", "flow", r.Packet.Key, "decision", cause(r.Decision.Verdict, r.Decision.Reason),
			"to", steer.AddrOf(r.Decision.To), "waited", r.Waited)
		raw := append(make([]byte, headRoom, headRoom+len(r.Raw)), r.Raw...)
		b.act(r.Decision, r.Packet, r.Message, raw)
	}
}

// tick runs the timers.
func (b *Balancer) tick() {
	now := b.Clock.Now()
	b.checkSleep(now)
	for _, s := range b.core.Tick(now, b.ping) {
		b.Log.Warn("agent lost", "agent", steer.AddrOf(s.Agent), "unanswered", now-s.Since)
	}
	b.resume(now)
}

func (b *Balancer) ping(agent place.ID) {
	b.journal.send(b.Clock.Now(), b.agents, encode(steer.Message{Kind: steer.Ping}), netip.AddrPortFrom(steer.AddrOf(agent), b.port))
}

// checkSleep notices that the process has not run. After a pause first packets are
// not refused for a moment; after a sleep new flows wait until the view has been
// read again.
func (b *Balancer) checkSleep(now clock.Millis) {
	gap := b.wake.gap()
	if gap < pausedFor {
		return
	}
	b.core.RecordPause(now)
	b.Log.Warn("woken late", "slept", gap)
	if gap < sleptFor {
		return
	}
	b.core.RecordSuspension()
	select {
	case b.refresh <- struct{}{}:
	default:
	}
}

// faulty logs an entry that names nothing usable.
func (b *Balancer) faulty(key string, revision uint64, err error) {
	b.Log.Warn("entry ignored", "key", key, "revision", revision, "err", err)
}
