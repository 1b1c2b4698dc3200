// Package loop runs the decision logic of a process, its core, on one goroutine and
// performs the actions that balancers and agents have in common.
package loop

import (
	"context"
	"net/netip"
	"time"

	"dogwoodlanding.example/dogwood/internal/peer"
	"dogwoodlanding.example/dogwood/internal/ring"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/node"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"github.com/charmbracelet/log"
)

// Lengths of the queues from other goroutines to the core.
const (
	eventQueueLength  = 4096
	packetQueueLength = 8192
)

// tickInterval is the time between two calls of Core.Tick.
const tickInterval = 50 * time.Millisecond

// Event is a function that runs on the core's goroutine and returns the actions to
// perform.
type Event func(now clock.Millis) []node.Action

// Core is the part of node.Balancer and node.Agent that the loop uses.
type Core interface {
	Tick(now clock.Millis) []node.Action
	Config() *spread.Node
	Host(id place.ID) (netip.Addr, bool)
	HandlePoll(now clock.Millis, change spread.Change, ok bool) []node.Action
	HandleFetch(now clock.Millis, change spread.Change) []node.Action
}

// Loop runs one core. Set the exported fields before Run.
type Loop struct {
	Core          Core
	Clock         clock.Clock
	ControlSocket *peer.ControlSocket
	Platform      peer.Platform
	Seeds         map[place.ID]netip.Addr
	Log           *log.Logger
	// Perform performs the actions that the loop does not. It also receives Activate
	// actions, after the loop has logged them.
	Perform func(now clock.Millis, action node.Action)

	events      *ring.Queue[Event]
	packets     *ring.Queue[Event]
	senderAddrs map[place.ID]netip.Addr // of senders that the configuration does not declare
}

// Init creates the queues. Call it before any other method.
func (l *Loop) Init() {
	l.events = ring.New[Event](eventQueueLength)
	l.packets = ring.New[Event](packetQueueLength)
	l.senderAddrs = make(map[place.ID]netip.Addr)
}

// Enqueue queues an event. It is dropped if the queue is full.
func (l *Loop) Enqueue(e Event) { l.events.Put(e) }

// EnqueuePacket queues the event of a received packet. Packets have their own queue, so
// that a burst of them does not displace other events. The event is dropped if that
// queue is full.
func (l *Loop) EnqueuePacket(e Event) { l.packets.Put(e) }

// Dropped returns how many events and packets were dropped because their queue was full.
func (l *Loop) Dropped() (events, packets uint64) { return l.events.Dropped(), l.packets.Dropped() }

// Call runs f on the core's goroutine and waits until it has returned. If the context
// ends first, Call returns the context's error, and f may still run later. If the event
// queue is full, f never runs and Call waits until the context ends.
func (l *Loop) Call(ctx context.Context, f func(now clock.Millis)) error {
	done := make(chan struct{})
	l.Enqueue(func(now clock.Millis) []node.Action {
		f(now)
		close(done)
		return nil
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RecordAddress records the address of the sender of a control message, unless the core
// has the address from the configuration. Call it on the core's goroutine.
func (l *Loop) RecordAddress(id place.ID, addr netip.Addr) {
	if _, known := l.Core.Host(id); !known {
		l.senderAddrs[id] = addr
	}
}

// Run handles events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := l.Clock.Now()
			l.performAll(ctx, now, l.Core.Tick(now))
		case e := <-l.events.Items():
			l.handleEvent(ctx, e)
		case e := <-l.packets.Items():
			l.handleEvent(ctx, e)
		}
	}
}

// handleEvent runs an event and performs its actions.
func (l *Loop) handleEvent(ctx context.Context, e Event) {
	now := l.Clock.Now()
	l.performAll(ctx, now, e(now))
}

// performAll performs the actions, in order.
func (l *Loop) performAll(ctx context.Context, now clock.Millis, actions []node.Action) {
	for _, a := range actions {
		switch {
		case a.Control != nil:
			if addr, ok := l.Address(a.Control.To); ok {
				l.ControlSocket.Send(addr, a.Control.Message)
			}
		case a.Fetch != nil:
			l.fetch(ctx, *a.Fetch)
		case a.Poll != nil:
			l.poll(ctx, *a.Poll)
		case a.Activate != nil:
			l.logActivation(a.Activate.Record)
			l.Perform(now, a)
		default:
			l.Perform(now, a)
		}
	}
}

// Address returns the address of a process. It looks in the configuration in force, then
// in the seeds, then among the recorded senders. Call it on the core's goroutine.
func (l *Loop) Address(id place.ID) (netip.Addr, bool) {
	if addr, ok := l.Core.Host(id); ok {
		return addr, true
	}
	if addr, ok := l.Seeds[id]; ok {
		return addr, true
	}
	addr, ok := l.senderAddrs[id]
	return addr, ok
}

func (l *Loop) logActivation(r spread.Record) {
	l.Log.Info("configuration in force", "revision", r.Revision, "hash", r.Hash, "source", r.Source, "files", len(r.Files))
}

// fetch requests a configuration change from a neighbour on a new goroutine and queues
// the answer for the core. If the fetch fails, the answer is the zero change.
func (l *Loop) fetch(ctx context.Context, f spread.Fetch) {
	addr, ok := l.Address(f.From)
	if !ok {
		l.Enqueue(func(now clock.Millis) []node.Action { return l.Core.HandleFetch(now, spread.Change{}) })
		return
	}
	go func() {
		change, err := peer.Fetch(ctx, netip.AddrPortFrom(addr, conf.RPCPort), f.After)
		if err != nil {
			l.Log.Warn("fetch from a neighbour failed", "neighbour", addr, "err", err)
		}
		l.Enqueue(func(now clock.Millis) []node.Action { return l.Core.HandleFetch(now, change) })
	}()
}

// poll waits on a new goroutine for a configuration change from the platform and queues
// the answer for the core.
func (l *Loop) poll(ctx context.Context, p spread.Poll) {
	go func() {
		change, err := l.Platform.Watch(ctx, p.After)
		if err != nil && ctx.Err() == nil {
			l.Log.Warn("platform watch failed", "err", err)
		}
		l.Enqueue(func(now clock.Millis) []node.Action { return l.Core.HandlePoll(now, change, err == nil) })
	}()
}
