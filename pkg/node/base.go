package node

import (
	"net/netip"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/member"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"dogwoodlanding.example/dogwood/pkg/wire"
)

// base is what balancers and agents share: membership and configuration.
type base struct {
	identity    Identity
	self        place.ID
	members     member.Table
	config      spread.Node
	hostOf      map[place.ID]netip.Addr
	processAt   map[netip.Addr]place.ID
	endpoints   map[endpointKey]endpoint
	endpointsOf map[string][]endpointKey // of each service
	lastTick    clock.Millis
	viewStale   bool // woke late and has not heard a neighbour since
	initialized bool
	onActivate  func(now clock.Millis, activation *spread.Activation)
}

// endpointKey is what packets of an endpoint are addressed to.
type endpointKey struct {
	ip       [16]byte
	port     uint16
	protocol uint8
}

// endpoint is the service behind a listener.
type endpoint struct {
	service string
	carries conf.Carriage
}

func (b *base) initBase(identity Identity, onActivate func(clock.Millis, *spread.Activation)) {
	t := identity.Timing
	b.identity = identity
	b.self = identity.ID()
	b.onActivate = onActivate
	b.members = member.Table{
		Self: b.self, Instance: identity.Instance, Random: identity.Random,
		Heartbeat: t.Heartbeat, Lease: t.Lease, Silence: t.Silence,
	}
	b.config = spread.Node{
		Self: b.self, DataCentre: identity.DataCentre, Seeds: identity.Seeds, Random: identity.Random,
		Interval: t.Interval, Epoch: t.Epoch, StartupWait: t.StartupWait, Alive: b.members.Alive,
	}
	if identity.disabled(StartupWait) {
		b.config.StartupWait = 1
	}
	b.initialized = true
}

// Config is the process's part in spreading configurations, for state pages.
func (b *base) Config() *spread.Node { return &b.config }

// Members is the process's view of the others, for state pages.
func (b *base) Members() *member.Table { return &b.members }

// Host finds the address of a declared process.
func (b *base) Host(id place.ID) (netip.Addr, bool) {
	addr, ok := b.hostOf[id]
	return addr, ok
}

// ProcessAt names the declared process on a host; 0 if there is none.
func (b *base) ProcessAt(host netip.Addr) place.ID { return b.processAt[host] }

// Serving reports whether the process may handle traffic.
func (b *base) Serving(now clock.Millis) bool { return b.config.Ready(now) }

// tickBase runs the timers of the shared parts.
func (b *base) tickBase(now clock.Millis) []Action {
	b.detectSuspension(now)
	b.lastTick = now
	var out []Action
	for _, send := range b.members.Tick(now) {
		out = append(out, b.memberAction(send))
	}
	return append(out, b.spreadActions(now, b.config.Tick(now))...)
}

// detectSuspension marks the view as old if the process slept longer than a lease.
func (b *base) detectSuspension(now clock.Millis) {
	lease := b.identity.Timing.Lease.Or(member.DefaultLease)
	if b.lastTick != 0 && now-b.lastTick > lease {
		b.viewStale = true
	}
}

func (b *base) memberAction(send member.Send) Action {
	message := wire.Message{From: b.self, Heartbeat: send.Heartbeat, Ack: send.Ack, Gossip: send.Gossip}
	return Action{Control: &Control{send.To, message}}
}

func (b *base) spreadActions(now clock.Millis, actions []spread.Action) []Action {
	var out []Action
	for _, a := range actions {
		switch {
		case a.Send != nil:
			digest := a.Send.Digest
			out = append(out, Action{Control: &Control{a.Send.To, wire.Message{From: b.self, Digest: &digest}}})
		case a.Fetch != nil:
			out = append(out, Action{Fetch: a.Fetch})
		case a.Poll != nil:
			out = append(out, Action{Poll: a.Poll})
		case a.Activate != nil:
			b.applyConfig(now, a.Activate)
			out = append(out, Action{Activate: a.Activate})
		}
	}
	return out
}

// applyConfig derives the lookups of a configuration that came into force. It redoes
// only what the change touched.
func (b *base) applyConfig(now clock.Millis, activation *spread.Activation) {
	delta := activation.Set.Delta()
	if delta.Whole || delta.Hosts {
		b.applyHosts(now, activation.Set)
	}
	if delta.Whole {
		b.endpoints = make(map[endpointKey]endpoint, len(activation.Set.Services))
		b.endpointsOf = make(map[string][]endpointKey, len(activation.Set.Services))
		for _, service := range activation.Set.Services {
			b.addEndpoints(service)
		}
	}
	for _, name := range delta.Services {
		for _, key := range b.endpointsOf[name] {
			delete(b.endpoints, key)
		}
		delete(b.endpointsOf, name)
	}
	for _, name := range delta.Services {
		if service, ok := activation.Set.Service(name); ok {
			b.addEndpoints(service)
		}
	}
	b.onActivate(now, activation)
}

// applyHosts rebuilds what depends on the declared processes.
func (b *base) applyHosts(now clock.Millis, set conf.Set) {
	size := len(set.Servers) + len(set.Balancers)
	b.hostOf = make(map[place.ID]netip.Addr, size)
	b.processAt = make(map[netip.Addr]place.ID, size)
	members := make([]member.Peer, 0, size)
	peers := make([]spread.Peer, 0, size)
	add := func(name, host, dataCentre string) {
		id := place.IDOf(name)
		addr := netip.MustParseAddr(host)
		b.hostOf[id] = addr
		b.processAt[addr] = id
		members = append(members, member.Peer{ID: id, DataCentre: dataCentre, Region: set.Region(dataCentre)})
		peers = append(peers, spread.Peer{ID: id, DataCentre: dataCentre})
	}
	for _, server := range set.Servers {
		add(server.Name, server.Host, server.DataCentre)
	}
	for _, balancer := range set.Balancers {
		add(balancer.Name, balancer.Host, balancer.DataCentre)
	}
	b.members.SetPeers(now, members)
	b.config.SetPeers(peers)
}

// addEndpoints adds the listeners of a service.
func (b *base) addEndpoints(service conf.Service) {
	ip := netip.MustParseAddr(service.Address).As16()
	var keys []endpointKey
	for _, e := range service.Endpoints {
		key := endpointKey{ip, uint16(e.Port), protocolNumber(e.Protocol)}
		b.endpoints[key] = endpoint{service.Name, e.Carries}
		keys = append(keys, key)
	}
	b.endpointsOf[service.Name] = keys
}

// protocolNumber is the IP protocol number of a transport.
func protocolNumber(p conf.Protocol) uint8 {
	if p == conf.Udp {
		return 17
	}
	return 6
}

// lookupEndpoint finds the service that a packet is addressed to.
func (b *base) lookupEndpoint(key flow.Key) (endpoint, bool) {
	target, ok := b.endpoints[endpointKey{key.TargetIP, key.TargetPort, key.Protocol}]
	return target, ok
}

// handleShared handles the messages that both kinds of process understand.
func (b *base) handleShared(now clock.Millis, m wire.Message) []Action {
	var sends []member.Send
	switch {
	case m.Heartbeat != nil:
		sends = b.members.HandleHeartbeat(now, *m.Heartbeat)
	case m.Ack != nil:
		b.members.HandleAck(now, m.From, *m.Ack)
	case m.Gossip != nil:
		sends = b.members.HandleGossip(m.From, *m.Gossip)
	case m.Digest != nil:
		b.viewStale = false
		return b.spreadActions(now, b.config.HandleDigest(now, m.From, *m.Digest))
	}
	var out []Action
	for _, send := range sends {
		out = append(out, b.memberAction(send))
	}
	return out
}

// Polled handles the platform's answer to a poll.
func (b *base) Polled(now clock.Millis, change spread.Change, ok bool) []Action {
	if !b.initialized {
		return nil
	}
	return b.spreadActions(now, b.config.Polled(now, change, ok))
}

// Fetched handles a neighbour's answer to a fetch.
func (b *base) Fetched(now clock.Millis, change spread.Change) []Action {
	if !b.initialized {
		return nil
	}
	return b.spreadActions(now, b.config.Fetched(now, change))
}

// announceStop tells neighbours that the process stops.
func (b *base) announceStop(now clock.Millis) []Action {
	var out []Action
	for _, send := range b.members.Leave(now) {
		out = append(out, b.memberAction(send))
	}
	return out
}
