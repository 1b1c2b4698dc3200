// Package agent runs an agent beside its backend server: packets and requests
// in, the core's decisions, packets to the server and answers to the callers.
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

// Intervals of the looks at the local server.
const (
	healthInterval = 500 * time.Millisecond
	flowsInterval  = time.Second
)

// eventInterval is the time between two bookings of service-level events.
const eventInterval = time.Second

// defaultDrain is the longest wait for running requests at a stop.
const defaultDrain = 30 * time.Second

// idleCheck is the time between two looks for running requests at a stop.
const idleCheck = 20 * time.Millisecond

// Agent runs one agent.
type Agent struct {
	Settings setup.Agent
	Log      *log.Logger

	clock    clock.Clock
	host     *host.Host
	core     *node.Agent
	backend  *backend
	packets  netip.AddrPort // of the local server
	reader   packet.Reader  // used on the core's goroutine only
	cancels  map[uint64]context.CancelFunc
	requests *requestServer
	events   burn.EventCounts
	counted  node.AgentCounts // counts that the events already include
}

// Run serves until the context ends, then stops gracefully.
func (a *Agent) Run(ctx context.Context) error {
	admin.Prepare(a.Log)
	opened, err := host.Open(a.Settings.Process, a.Log)
	if err != nil {
		return err
	}
	a.host = opened
	a.core = &node.Agent{Identity: opened.Identity}
	a.backend = newBackend(a.Settings.Server.URL)
	a.packets = netip.MustParseAddrPort(a.Settings.Server.Packets)
	a.cancels = make(map[uint64]context.CancelFunc)
	opened.Loop.Core = a.core
	inner, cancel := context.WithCancel(context.Background())
	opened.Loop.Do = func(now clock.Millis, action node.Action) { a.do(inner, now, action) }
	pages := &admin.Pages{Host: opened.Addr, State: a.state, History: opened.History, Hosts: opened.Hosts}
	if err := pages.Start(); err != nil {
		cancel()
		return err
	}
	if err := a.openRequests(); err != nil {
		cancel()
		return err
	}
	opened.Start(inner, a.core.Control)
	opened.Go(a.receive)
	opened.Go(func() { a.watchHealth(inner) })
	opened.Go(func() { a.watchFlows(inner) })
	opened.Go(func() { every(inner, eventInterval, a.bookEvents) })
	a.Log.Info("agent serves", "name", opened.Identity.Name, "host", opened.Addr)
	<-ctx.Done()
	a.drain()
	a.closeRequests()
	cancel()
	pages.Stop()
	opened.Close()
	return nil
}

// drain refuses new work, waits for running requests and tells the neighbours.
func (a *Agent) drain() {
	a.Log.Info("agent drains")
	limit := defaultDrain
	if a.Settings.Process.DrainMs > 0 {
		limit = time.Duration(a.Settings.Process.DrainMs) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a.host.Loop.Put(func(now clock.Millis) []node.Action {
		a.core.Drain(now)
		return nil
	})
	for idle := false; !idle && ctx.Err() == nil; {
		time.Sleep(idleCheck)
		_ = a.host.Loop.Ask(ctx, func(clock.Millis) { idle = a.core.Idle() })
	}
	a.host.Loop.Put(a.core.Stop)
	_ = a.host.Loop.Ask(context.Background(), func(clock.Millis) {})
	a.Log.Info("agent stops", "drained", ctx.Err() == nil)
}

// receive queues the packets that balancers and other agents send.
func (a *Agent) receive() {
	a.host.Socket.Receive(func(from netip.Addr, raw []byte) {
		a.host.Loop.PutPacket(func(now clock.Millis) []node.Action { return a.packet(now, from, raw) })
	})
}

// packet handles one datagram on the core's goroutine.
func (a *Agent) packet(now clock.Millis, from netip.Addr, raw []byte) []node.Action {
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
	carries, mine := a.core.Carries(info.Key)
	if carries == conf.CarryStreams || !mine {
		return a.core.Packet(now, info, envelope)
	}
	request, err := edge.DecodeRequest(now, a.core.Deadline(), info.Key, info.Payload)
	if err != nil {
		a.Log.Debug("request dropped", "err", err)
		return nil
	}
	return a.core.Request(now, request)
}

// do carries out an action of the core, on the core's goroutine.
func (a *Agent) do(ctx context.Context, _ clock.Millis, action node.Action) {
	switch {
	case action.Forward != nil:
		if addr, ok := a.core.Host(action.Forward.To); ok {
			a.host.Socket.Send(addr, action.Forward.Datagram)
		}
	case action.ToServer != nil:
		a.host.Socket.SendTo(a.packets, action.ToServer)
	case action.ToCaller != nil:
		a.toCaller(action.ToCaller)
	case action.Respond != nil:
		a.respond(*action.Respond)
	case action.Run != nil:
		a.run(ctx, *action.Run)
	case action.Cancel != nil:
		if cancel := a.cancels[action.Cancel.Token]; cancel != nil {
			cancel()
		}
	}
}

// toCaller sends a packet straight to the host it is addressed to.
func (a *Agent) toCaller(raw []byte) {
	info, err := a.reader.Read(raw)
	if err != nil {
		return
	}
	a.host.Socket.Send(info.Key.Target().Addr(), raw)
}

func (a *Agent) respond(r node.Respond) {
	if r.Request.HTTPHandle != 0 {
		a.requests.answer(r.Request.HTTPHandle, r.Answer)
		return
	}
	raw, err := edge.EncodeAnswer(r.Request, r.Answer)
	if err != nil {
		a.Log.Error("answer lost", "request", r.Request.ID, "err", err)
		return
	}
	a.host.Socket.Send(r.Request.Caller.Source().Addr(), raw)
}

// run sends a request to the local server on a goroutine of its own.
func (a *Agent) run(ctx context.Context, r node.Run) {
	ctx, cancel := context.WithCancel(ctx)
	a.cancels[r.Token] = cancel
	go func() {
		answer := a.backend.run(ctx, a.clock, r.Request)
		a.host.Loop.Put(func(now clock.Millis) []node.Action {
			cancel()
			delete(a.cancels, r.Token)
			return a.core.ServerAnswer(now, r.Token, answer)
		})
	}()
}

// watchHealth looks at the server's health page.
func (a *Agent) watchHealth(ctx context.Context) {
	every(ctx, healthInterval, func() {
		h, err := a.backend.health(ctx)
		if err != nil {
			return
		}
		a.host.Loop.Put(func(now clock.Millis) []node.Action {
			a.core.HandleServerHealth(now, h.Instance, h.Draining)
			return nil
		})
	})
}

// watchFlows reads the server's connection table.
func (a *Agent) watchFlows(ctx context.Context) {
	every(ctx, flowsInterval, func() {
		keys, err := a.backend.flows(ctx)
		if err != nil {
			return
		}
		a.host.Loop.Put(func(now clock.Millis) []node.Action {
			a.core.ServerFlows(now, keys)
			return nil
		})
	})
}

// every calls f at once and then at each interval.
func every(ctx context.Context, interval time.Duration, f func()) {
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

func (a *Agent) state(ctx context.Context) (admin.State, error) {
	s := admin.State{Role: "agent"}
	err := a.host.Loop.Ask(ctx, func(now clock.Millis) {
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
		s.Counts = admin.CountsOf(a.core.Counts())
		s.Events = a.events.Buckets(now)
	})
	a.host.FillState(&s)
	return s, err
}

// bookEvents queues a booking of service-level events.
func (a *Agent) bookEvents() {
	a.host.Loop.Put(func(now clock.Millis) []node.Action {
		a.countEvents(now)
		return nil
	})
}

// countEvents books what the core has counted since the last call.
func (a *Agent) countEvents(now clock.Millis) {
	counts := a.core.Counts()
	before := a.counted
	a.counted = counts
	late := counts.Late - before.Late
	a.events.Add(now, burn.Good, counts.Answered-before.Answered-late+counts.FlowsOpened-before.FlowsOpened)
	a.events.Add(now, burn.LateAnswer, late)
	a.events.Add(now, burn.RefusedWork, counts.NotRun-before.NotRun)
	a.events.Add(now, burn.UnknownResult, counts.Unknown-before.Unknown)
	a.events.Add(now, burn.BrokenFlow, counts.Refused-before.Refused)
}
