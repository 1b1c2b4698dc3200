// Package agent runs a node.Agent as a process next to its backend server. It feeds
// packets and requests to the agent's decision logic, the core, and performs the
// resulting actions: it delivers packets to the server, runs requests there and sends
// answers to the callers.
package agent

import (
	"context"
	"net/netip"
	"time"

	"dogwoodlanding.example/dogwood/internal/admin"
	"dogwoodlanding.example/dogwood/internal/edge"
	"dogwoodlanding.example/dogwood/internal/host"
	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/pkg/burn"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/packet"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"github.com/charmbracelet/log"
)

// Intervals at which the local server is polled.
const (
	healthPollInterval      = 500 * time.Millisecond
	connectionTableInterval = time.Second
)

// eventUpdateInterval is the time between two updates of the service-level events.
const eventUpdateInterval = time.Second

// defaultDrainTimeout bounds the wait for running requests during shutdown if the
// settings give no bound.
const defaultDrainTimeout = 30 * time.Second

// idlePollInterval is the time between two checks for running requests during shutdown.
const idlePollInterval = 20 * time.Millisecond

// Agent is an agent process. Set the exported fields before Run.
type Agent struct {
	Settings setup.Agent
	Log      *log.Logger

	clock            clock.Clock
	host             *host.Host
	core             *node.Agent
	backend          *backendClient
	serverPacketAddr netip.AddrPort                // of the local server's packet socket
	reader           packet.Reader                 // core's goroutine only
	cancelRun        map[uint64]context.CancelFunc // by run token; core's goroutine only
	requests         *requestServer
	events           burn.EventCounts
	lastCounts       node.AgentCounts // the core's counters at the last update of events
}

// Run opens the agent's sockets and handles traffic until the context ends. Then it
// drains: it lets running requests finish, up to a timeout, before it returns.
func (a *Agent) Run(ctx context.Context) error {
	admin.SetUpProcess(a.Log)
	h, err := host.Open(a.Settings.Process, a.Log)
	if err != nil {
		return err
	}
	a.host = h
	a.core = &node.Agent{Identity: h.Identity}
	a.backend = newBackendClient(a.Settings.Server.URL)
	a.serverPacketAddr = netip.MustParseAddrPort(a.Settings.Server.Packets)
	a.cancelRun = make(map[uint64]context.CancelFunc)
	h.Loop.Core = a.core
	// runCtx ends only after the drain, so that running requests are not cancelled.
	runCtx, cancel := context.WithCancel(context.Background())
	h.Loop.Perform = func(now clock.Millis, action node.Action) { a.perform(runCtx, now, action) }
	pages := &admin.Pages{Host: h.Addr, State: a.state, History: h.History, DeclaredProcesses: h.DeclaredProcesses}
	if err := pages.Start(); err != nil {
		cancel()
		return err
	}
	if err := a.startRequestServer(); err != nil {
		cancel()
		return err
	}
	h.Start(runCtx, a.core.Control)
	h.Go(a.receivePackets)
	h.Go(func() { a.pollHealth(runCtx) })
	h.Go(func() { a.pollConnectionTable(runCtx) })
	h.Go(func() { runEvery(runCtx, eventUpdateInterval, a.queueEventUpdate) })
	a.Log.Info("agent started", "name", h.Identity.Name, "host", h.Addr)
	<-ctx.Done()
	a.drain()
	a.stopRequestServer()
	cancel()
	pages.Stop()
	h.Close()
	return nil
}

// drain refuses new work, waits for running requests and announces the shutdown to the
// neighbours.
func (a *Agent) drain() {
	a.Log.Info("agent draining")
	timeout := defaultDrainTimeout
	if a.Settings.Process.DrainMs > 0 {
		timeout = time.Duration(a.Settings.Process.DrainMs) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a.host.Loop.Enqueue(func(now clock.Millis) []node.Action {
		a.core.Drain(now)
		return nil
	})
	for idle := false; !idle && ctx.Err() == nil; {
		time.Sleep(idlePollInterval)
		_ = a.host.Loop.Call(ctx, func(clock.Millis) { idle = a.core.Idle() })
	}
	a.host.Loop.Enqueue(a.core.Stop)
	// Events run in order: when Call returns, the announcement has been sent.
	_ = a.host.Loop.Call(context.Background(), func(clock.Millis) {})
	a.Log.Info("agent stopping", "drained", ctx.Err() == nil)
}

// receivePackets queues packets from balancers and other agents for the core.
func (a *Agent) receivePackets() {
	a.host.PacketSocket.Receive(func(from netip.Addr, raw []byte) {
		a.host.Loop.EnqueuePacket(func(now clock.Millis) []node.Action { return a.handlePacket(now, from, raw) })
	})
}

// handlePacket handles one datagram on the core's goroutine. A datagram holds a raw
// packet, or one in an envelope from another agent. What cannot be decoded is dropped.
func (a *Agent) handlePacket(now clock.Millis, from netip.Addr, raw []byte) []node.Action {
	envelope := wire.Envelope{Balancer: a.core.ProcessAt(from), Packet: raw}
	if wire.IsEnvelope(raw) {
		var err error
		if envelope, err = wire.DecodeEnvelope(raw); err != nil {
			return nil
		}
	}
	info, err := a.reader.Read(envelope.Packet)
	if err != nil {
		return nil
	}
	kind, ownService := a.core.Carries(info.Key)
	if kind == conf.CarryStreams || !ownService {
		return a.core.Packet(now, info, envelope)
	}
	request, err := edge.DecodeRequest(now, a.core.Deadline(), info.Key, info.Payload)
	if err != nil {
		a.Log.Debug("request dropped", "err", err)
		return nil
	}
	return a.core.Request(now, request)
}

// perform performs an action that the loop leaves to the agent. It runs on the core's
// goroutine.
func (a *Agent) perform(ctx context.Context, _ clock.Millis, action node.Action) {
	switch {
	case action.Forward != nil:
		if addr, ok := a.core.Host(action.Forward.To); ok {
			a.host.PacketSocket.Send(addr, action.Forward.Datagram)
		}
	case action.ToServer != nil:
		a.host.PacketSocket.SendTo(a.serverPacketAddr, action.ToServer)
	case action.ToCaller != nil:
		a.sendToCaller(action.ToCaller)
	case action.Respond != nil:
		a.sendAnswer(*action.Respond)
	case action.Run != nil:
		a.runRequest(ctx, *action.Run)
	case action.Cancel != nil:
		if cancel := a.cancelRun[action.Cancel.Token]; cancel != nil {
			cancel()
		}
	}
}

// sendToCaller sends a packet to the host that it is addressed to, not through a
// balancer.
func (a *Agent) sendToCaller(raw []byte) {
	info, err := a.reader.Read(raw)
	if err != nil {
		return
	}
	a.host.PacketSocket.Send(info.Key.Target().Addr(), raw)
}

// sendAnswer sends the final answer to a request over the protocol that the request
// came by, HTTP or JSON-RPC datagram.
func (a *Agent) sendAnswer(r node.Respond) {
	if r.Request.HTTPHandle != 0 {
		a.requests.deliver(r.Request.HTTPHandle, r.Answer)
		return
	}
	raw, err := edge.EncodeAnswer(r.Request, r.Answer)
	if err != nil {
		a.Log.Error("answer not sent", "request", r.Request.ID, "err", err)
		return
	}
	a.host.PacketSocket.Send(r.Request.Caller.Source().Addr(), raw)
}

// runRequest sends a request to the local server on a new goroutine and queues the
// server's answer for the core.
func (a *Agent) runRequest(ctx context.Context, r node.Run) {
	ctx, cancel := context.WithCancel(ctx)
	a.cancelRun[r.Token] = cancel
	go func() {
		answer := a.backend.run(ctx, a.clock, r.Request)
		a.host.Loop.Enqueue(func(now clock.Millis) []node.Action {
			cancel()
			delete(a.cancelRun, r.Token)
			return a.core.ServerAnswer(now, r.Token, answer)
		})
	}()
}

// pollHealth passes the state on the server's health page to the core until the context
// ends. Failed reads are skipped.
func (a *Agent) pollHealth(ctx context.Context) {
	runEvery(ctx, healthPollInterval, func() {
		h, err := a.backend.fetchHealth(ctx)
		if err != nil {
			return
		}
		a.host.Loop.Enqueue(func(now clock.Millis) []node.Action {
			a.core.HandleServerHealth(now, h.Instance, h.Draining)
			return nil
		})
	})
}

// pollConnectionTable passes the server's connection table to the core until the
// context ends. Failed reads are skipped.
func (a *Agent) pollConnectionTable(ctx context.Context) {
	runEvery(ctx, connectionTableInterval, func() {
		keys, err := a.backend.fetchConnectionTable(ctx)
		if err != nil {
			return
		}
		a.host.Loop.Enqueue(func(now clock.Millis) []node.Action {
			a.core.ServerFlows(now, keys)
			return nil
		})
	})
}

// runEvery calls f immediately and then at each interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// state returns what the agent's state page shows.
func (a *Agent) state(ctx context.Context) (admin.State, error) {
	s := admin.State{Role: "agent"}
	err := a.host.Loop.Call(ctx, func(now clock.Millis) {
		s.FillConfig(now, a.core.Config())
		s.Leased = a.core.Leased(now)
		s.ClockSkewMs = a.core.Members().ClockSkew()
		s.Service = a.core.ServiceName()
		s.FlowsHeld = a.core.HeldFlows()
		s.RequestLimit, s.OpeningLimit = a.core.Limits()
		s.Cold = a.core.Cold(now)
		s.Draining = a.core.Draining()
		s.ClaimsInDoubt = a.core.PendingClaims()
		s.Objective = a.core.Objective()
		s.Counts = admin.CounterMap(a.core.Counts())
		s.Events = a.events.Buckets(now)
	})
	a.host.FillState(&s)
	return s, err
}

// queueEventUpdate queues an update of the service-level events for the core's
// goroutine.
func (a *Agent) queueEventUpdate() {
	a.host.Loop.Enqueue(func(now clock.Millis) []node.Action {
		a.updateEvents(now)
		return nil
	})
}

// updateEvents adds what the core has counted since the last call to the service-level
// events. Late answers are also in the counter Answered, so they are subtracted from it.
func (a *Agent) updateEvents(now clock.Millis) {
	counts := a.core.Counts()
	previous := a.lastCounts
	a.lastCounts = counts
	late := counts.Late - previous.Late
	a.events.Add(now, burn.Good, counts.Answered-previous.Answered-late+counts.FlowsOpened-previous.FlowsOpened)
	a.events.Add(now, burn.LateAnswer, late)
	a.events.Add(now, burn.RefusedWork, counts.NotRun-previous.NotRun)
	a.events.Add(now, burn.UnknownResult, counts.Unknown-previous.Unknown)
	a.events.Add(now, burn.BrokenFlow, counts.Refused-previous.Refused)
}
