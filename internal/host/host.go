// Package host opens the sockets of a process and runs the goroutines that
// balancers and agents share.
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

// Host is what balancers and agents share of running on a host.
type Host struct {
	Addr     netip.Addr
	Identity node.Identity
	Link     *peer.Link
	Socket   *edge.Socket
	Listener net.Listener // for JSON-RPC
	Loop     *loop.Loop

	wait sync.WaitGroup
}

// Open opens the sockets of a host.
func Open(p setup.Process, logger *log.Logger) (*Host, error) {
	addr := netip.MustParseAddr(p.Host)
	link, err := peer.Listen(addr)
	if err != nil {
		return nil, err
	}
	socket, err := edge.Listen(addr)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", netip.AddrPortFrom(addr, conf.RPCPort).String())
	if err != nil {
		return nil, errors.Wrap(err, "open JSON-RPC socket")
	}
	now := clock.Clock{}.Now()
	seeds := make(map[place.ID]netip.Addr)
	identity := node.Identity{
		Name: p.Name, DataCentre: p.DataCentre, Instance: uint64(now),
		Random: rand.New(rand.NewPCG(uint64(now), uint64(place.IDOf(p.Name)))), Timing: p.Timing.Node(),
	}
	for _, seed := range p.Seeds {
		id := place.IDOf("seed " + seed)
		seeds[id] = netip.MustParseAddr(seed)
		identity.Seeds = append(identity.Seeds, id)
	}
	l := &loop.Loop{Link: link, Platform: peer.Platform{URL: p.Platform}, Seeds: seeds, Log: logger}
	l.Init()
	return &Host{Addr: addr, Identity: identity, Link: link, Socket: socket, Listener: listener, Loop: l}, nil
}

// Go runs f on a goroutine that Close waits for.
func (h *Host) Go(f func()) { h.wait.Go(f) }

// Start runs the goroutines of the control side.
func (h *Host) Start(ctx context.Context, control func(now clock.Millis, m wire.Message) []node.Action) {
	h.Go(func() { h.Loop.Run(ctx) })
	h.Go(func() {
		h.Link.Receive(func(from netip.Addr, m wire.Message) {
			h.Loop.Put(func(now clock.Millis) []node.Action {
				h.Loop.Learn(m.From, from)
				return control(now, m)
			})
		})
	})
	server := &peer.Server{Since: func(ctx context.Context, after uint64) (spread.Change, error) {
		var change spread.Change
		err := h.Loop.Ask(ctx, func(clock.Millis) { change = h.Loop.Core.Config().Since(after) })
		return change, err
	}}
	h.Go(func() { server.Run(ctx, h.Listener) })
}

// Close closes the sockets and waits for the goroutines. The context given to
// Start must have ended.
func (h *Host) Close() {
	_ = h.Link.Close()
	_ = h.Socket.Close()
	_ = h.Listener.Close()
	h.wait.Wait()
}

// History asks the core for the configurations that came into force.
func (h *Host) History(ctx context.Context) ([]spread.Record, error) {
	var out []spread.Record
	err := h.Loop.Ask(ctx, func(clock.Millis) { out = h.Loop.Core.Config().History() })
	return out, err
}

// Hosts lists the declared processes of the configuration in force.
func (h *Host) Hosts(ctx context.Context) ([]admin.Declared, error) {
	var out []admin.Declared
	err := h.Loop.Ask(ctx, func(clock.Millis) {
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

// FillState copies what is known of the host's queues and traffic.
func (h *Host) FillState(s *admin.State) {
	s.Name = h.Identity.Name
	s.DataCentre = h.Identity.DataCentre
	s.Instance = h.Identity.Instance
	s.ControlSentBytes, s.ControlReceivedBytes = h.Link.Bytes()
	s.DroppedEvents, s.DroppedPackets = h.Loop.Dropped()
	s.InvariantViolations = admin.Violations()
}
