// Package entry runs a node.Balancer as a process on an entry host. It feeds packets to
// the balancer's decision logic, the core, and forwards each packet to the agent that
// the core selects.
package entry

import (
	"context"
	"net/netip"

	"dogwoodlanding.example/dogwood/internal/admin"
	"dogwoodlanding.example/dogwood/internal/host"
	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/packet"
	"github.com/charmbracelet/log"
)

// Balancer is a balancer process. Set the exported fields before Run.
type Balancer struct {
	Settings setup.Balancer
	Log      *log.Logger

	host   *host.Host
	core   *node.Balancer
	reader packet.Reader // core's goroutine only
}

// Run opens the balancer's sockets and forwards packets until the context ends. Before
// it returns it announces the shutdown to the neighbours.
func (b *Balancer) Run(ctx context.Context) error {
	admin.SetUpProcess(b.Log)
	h, err := host.Open(b.Settings.Process, b.Log)
	if err != nil {
		return err
	}
	b.host = h
	b.core = &node.Balancer{Identity: h.Identity, CacheFlows: b.Settings.CacheFlows}
	h.Loop.Core = b.core
	h.Loop.Perform = func(clock.Millis, node.Action) {}
	pages := &admin.Pages{Host: h.Addr, State: b.state, History: h.History, DeclaredProcesses: h.DeclaredProcesses}
	if err := pages.Start(); err != nil {
		return err
	}
	// runCtx ends only after the shutdown has been announced.
	runCtx, cancel := context.WithCancel(context.Background())
	h.Start(runCtx, b.core.Control)
	h.Go(b.receivePackets)
	b.Log.Info("balancer started", "name", h.Identity.Name, "host", h.Addr)
	<-ctx.Done()
	b.Log.Info("balancer stopping")
	h.Loop.Enqueue(b.core.Stop)
	// Events run in order: when Call returns, the announcement has been sent.
	_ = h.Loop.Call(context.Background(), func(clock.Millis) {})
	cancel()
	pages.Stop()
	h.Close()
	return nil
}

// receivePackets queues received packets for the core.
func (b *Balancer) receivePackets() {
	b.host.PacketSocket.Receive(func(_ netip.Addr, raw []byte) {
		b.host.Loop.EnqueuePacket(func(now clock.Millis) []node.Action {
			b.routePacket(now, raw)
			return nil
		})
	})
}

// routePacket forwards a packet to the agent that the core selects. Packets that cannot
// be decoded, and those without an agent, are dropped.
func (b *Balancer) routePacket(now clock.Millis, raw []byte) {
	info, err := b.reader.Read(raw)
	if err != nil {
		return
	}
	agentID, ok := b.core.Route(now, &info)
	if !ok {
		return
	}
	if addr, ok := b.core.Host(agentID); ok {
		b.host.PacketSocket.Send(addr, raw)
	}
}

// state returns what the balancer's state page shows.
func (b *Balancer) state(ctx context.Context) (admin.State, error) {
	s := admin.State{Role: "balancer"}
	err := b.host.Loop.Call(ctx, func(now clock.Millis) {
		s.FillConfig(now, b.core.Config())
		s.Leased = b.core.Members().Leased(now)
		s.ClockSkewMs = b.core.Members().ClockSkew()
		s.Counts = admin.CounterMap(b.core.Counts())
	})
	b.host.FillState(&s)
	return s, err
}
