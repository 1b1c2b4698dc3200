// Package host opens the sockets of a process and runs the goroutines that the balancer
// of package entry and the agent of package agent have in common.
package host

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"dogwoodlanding.example/dogwood/internal/admin"
	"dogwoodlanding.example/dogwood/internal/edge"
	"dogwoodlanding.example/dogwood/internal/loop"
	"dogwoodlanding.example/dogwood/internal/peer"
	"dogwoodlanding.example/dogwood/internal/setup"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"dogwoodlanding.example/dogwood/pkg/wire"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// Host holds the sockets and the event loop of a balancer or an agent. Open creates it.
type Host struct {
	Addr          netip.Addr
	Identity      node.Identity
	ControlSocket *peer.ControlSocket
	PacketSocket  *edge.PacketSocket
	RPCListener   net.Listener // for other processes' JSON-RPC calls
	Loop          *loop.Loop

	goroutines sync.WaitGroup // those started with Go
}

// Open opens the sockets of a process on the host's address that the settings give. The
// caller must set the loop's Core and Perform before Start. Open panics if the address
// of the host or of a seed is malformed.
func Open(p setup.Process, logger *log.Logger) (*Host, error) {
	addr := netip.MustParseAddr(p.Host)
	controlSocket, err := peer.ListenControl(addr)
	if err != nil {
		return nil, err
	}
	packetSocket, err := edge.ListenPackets(addr)
	if err != nil {
		return nil, err
	}
	rpcListener, err := net.Listen("tcp", netip.AddrPortFrom(addr, conf.RPCPort).String())
	if err != nil {
		return nil, errors.Wrap(err, "open JSON-RPC listener")
	}
	now := clock.Clock{}.Now()
	seeds := make(map[place.ID]netip.Addr)
	identity := node.Identity{
		Name: p.Name, DataCentre: p.DataCentre, Instance: uint64(now),
		Random: rand.New(rand.NewPCG(uint64(now), uint64(place.IDOf(p.Name)))), Timing: p.Timing.Node(),
	}
	// The names of the seeds are not known, so their IDs are derived from their addresses.
	for _, seed := range p.Seeds {
		id := place.IDOf("seed " + seed)
		seeds[id] = netip.MustParseAddr(seed)
		identity.Seeds = append(identity.Seeds, id)
	}
	l := &loop.Loop{ControlSocket: controlSocket, Platform: peer.Platform{URL: p.Platform}, Seeds: seeds, Log: logger}
	l.Init()
	return &Host{Addr: addr, Identity: identity, ControlSocket: controlSocket, PacketSocket: packetSocket, RPCListener: rpcListener, Loop: l}, nil
}

// Go runs f on a goroutine that Close waits for.
func (h *Host) Go(f func()) { h.goroutines.Go(f) }

// Start starts the goroutines that run the event loop, pass control messages to
// handleControl, and answer other processes' fetches of configuration changes. They end
// after the context has ended and Close was called.
func (h *Host) Start(ctx context.Context, handleControl func(now clock.Millis, m wire.Message) []node.Action) {
	h.Go(func() { h.Loop.Run(ctx) })
	h.Go(func() {
		h.ControlSocket.Receive(func(from netip.Addr, m wire.Message) {
			h.Loop.Enqueue(func(now clock.Millis) []node.Action {
				h.Loop.RecordAddress(m.From, from)
				return handleControl(now, m)
			})
		})
	})
	server := &peer.Server{Since: func(ctx context.Context, after uint64) (spread.Change, error) {
		var change spread.Change
		err := h.Loop.Call(ctx, func(clock.Millis) { change = h.Loop.Core.Config().Since(after) })
		return change, err
	}}
	h.Go(func() { server.Run(ctx, h.RPCListener) })
}

// Close closes the sockets and waits for the goroutines. The context passed to Start
// must have ended, or Close waits forever.
func (h *Host) Close() {
	_ = h.ControlSocket.Close()
	_ = h.PacketSocket.Close()
	_ = h.RPCListener.Close()
	h.goroutines.Wait()
}

// History returns the configurations that came into force at this process, oldest
// first.
func (h *Host) History(ctx context.Context) ([]spread.Record, error) {
	var out []spread.Record
	err := h.Loop.Call(ctx, func(clock.Millis) { out = h.Loop.Core.Config().History() })
	return out, err
}

// DeclaredProcesses returns the balancers and agents that the configuration in force
// declares. An agent is declared by the entry of its backend server.
func (h *Host) DeclaredProcesses(ctx context.Context) ([]admin.Declared, error) {
	var out []admin.Declared
	err := h.Loop.Call(ctx, func(clock.Millis) {
		set := h.Loop.Core.Config().Set()
		for _, b := range set.Balancers {
			out = append(out, admin.Declared{Name: b.Name, Host: b.Host, Out: set.CentreState(b.DataCentre) == conf.CentreOut})
		}
		for _, s := range set.Servers {
			out = append(out, admin.Declared{Name: s.Name, Host: s.Host, Out: set.CentreState(s.DataCentre) == conf.CentreOut})
		}
	})
	return out, err
}

// FillState sets the fields that identify the process, and its counters of control
// traffic, full queues and violated invariants.
func (h *Host) FillState(s *admin.State) {
	s.Name = h.Identity.Name
	s.DataCentre = h.Identity.DataCentre
	s.Instance = h.Identity.Instance
	s.ControlSentBytes, s.ControlReceivedBytes = h.ControlSocket.Bytes()
	s.DroppedEvents, s.DroppedPackets = h.Loop.Dropped()
	s.InvariantViolations = admin.ViolationCount()
}
