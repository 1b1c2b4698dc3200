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

// base holds what balancers and agents have in common: membership, configuration and
// the lookups derived from the configuration in force.
type base struct {
	identity    Identity
	self        place.ID
	members     member.Table
	config      spread.Node
	hostOf      map[place.ID]netip.Addr // of each declared process
	processAt   map[netip.Addr]place.ID // declared process on each host
	endpoints   map[endpointKey]endpoint
	endpointsOf map[string][]endpointKey // by service name
	lastTick    clock.Millis
	viewStale   bool // suspended for longer than a lease, and no digest received since
	initialized bool
	onActivate  func(now clock.Millis, activation *spread.Activation)
}

// endpointKey is the target of an endpoint's packets.
type endpointKey struct {
	ip       [16]byte
	port     uint16
	protocol uint8 // IP protocol number
}

// endpoint names the service of an endpoint and what its packets carry.
type endpoint struct {
	service string
	carries conf.TrafficKind
}

// initBase sets up membership and configuration. It stores onActivate, which is called
// after the lookups of a new configuration are in place.
func (b *base) initBase(identity Identity, onActivate func(clock.Millis, *spread.Activation)) {
	t := identity.Timing
	b.identity = identity
	b.self = identity.ID()
	b.onActivate = onActivate
	b.members = member.Table{
		Self: b.self, Instance: identity.Instance, Random: identity.Random,
		HeartbeatInterval: t.HeartbeatInterval, LeaseDuration: t.LeaseDuration, SilenceTimeout: t.SilenceTimeout,
	}
	b.config = spread.Node{
		Self: b.self, DataCentre: identity.DataCentre, Seeds: identity.Seeds, Random: identity.Random,
		Interval: t.DigestInterval, Epoch: t.ReaderEpoch, StartupWait: t.StartupWait, Alive: b.members.Alive,
	}
	if identity.disabled(StartupWait) {
		b.config.StartupWait = 1 // zero means the default
	}
	b.initialized = true
}

// Config returns the state of configuration distribution, for state pages.
func (b *base) Config() *spread.Node { return &b.config }

// Members returns the membership table, for state pages.
func (b *base) Members() *member.Table { return &b.members }

// Host returns the address of a declared process.
func (b *base) Host(id place.ID) (netip.Addr, bool) {
	addr, ok := b.hostOf[id]
	return addr, ok
}

// ProcessAt returns the declared process on a host, or 0 if there is none.
func (b *base) ProcessAt(host netip.Addr) place.ID { return b.processAt[host] }

// Serving reports whether the process may handle traffic.
func (b *base) Serving(now clock.Millis) bool { return b.config.Ready(now) }

// tickBase runs the periodic work of membership and configuration distribution.
func (b *base) tickBase(now clock.Millis) []Action {
	b.detectSuspension(now)
	b.lastTick = now
	var out []Action
	for _, send := range b.members.Tick(now) {
		out = append(out, b.memberAction(send))
	}
	return append(out, b.performConfigActions(now, b.config.Tick(now))...)
}

// detectSuspension marks the view as stale if the process was suspended for longer
// than a lease: its record of the other processes may be out of date.
func (b *base) detectSuspension(now clock.Millis) {
	lease := b.identity.Timing.LeaseDuration.Or(member.DefaultLease)
	if b.lastTick != 0 && now-b.lastTick > lease {
		b.viewStale = true
	}
}

// memberAction converts a message of the membership table to an action.
func (b *base) memberAction(send member.Send) Action {
	message := wire.Message{From: b.self, Heartbeat: send.Heartbeat, Ack: send.Ack, Gossip: send.Gossip}
	return Action{Control: &Control{send.To, message}}
}

// performConfigActions converts the actions of configuration distribution. A
// configuration that comes into force is applied first.
func (b *base) performConfigActions(now clock.Millis, actions []spread.Action) []Action {
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

// applyConfig updates the lookups from a configuration that came into force. It
// rebuilds only what the change affects.
func (b *base) applyConfig(now clock.Millis, activation *spread.Activation) {
	delta := activation.Set.Delta()
	if delta.Everything || delta.HostsChanged {
		b.applyHosts(now, activation.Set)
	}
	if delta.Everything {
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

// applyHosts rebuilds the lookups of processes and updates the peers.
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

// addEndpoints adds the endpoints of a service to the lookups.
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

// protocolNumber returns the IP protocol number of a transport.
func protocolNumber(p conf.Protocol) uint8 {
	if p == conf.Udp {
		return 17
	}
	return 6
}

// lookupEndpoint returns the endpoint that a packet is addressed to.
func (b *base) lookupEndpoint(key flow.Key) (endpoint, bool) {
	target, ok := b.endpoints[endpointKey{key.TargetIP, key.TargetPort, key.Protocol}]
	return target, ok
}

// handleShared handles the messages that balancers and agents have in common.
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
		return b.performConfigActions(now, b.config.HandleDigest(now, m.From, *m.Digest))
	}
	var out []Action
	for _, send := range sends {
		out = append(out, b.memberAction(send))
	}
	return out
}

// HandlePoll handles the platform's answer to a Poll action; ok is false if the poll
// failed.
func (b *base) HandlePoll(now clock.Millis, change spread.Change, ok bool) []Action {
	if !b.initialized {
		return nil
	}
	return b.performConfigActions(now, b.config.HandlePoll(now, change, ok))
}

// HandleFetch handles a neighbour's answer to a Fetch action. A failed fetch passes the
// zero Change.
func (b *base) HandleFetch(now clock.Millis, change spread.Change) []Action {
	if !b.initialized {
		return nil
	}
	return b.performConfigActions(now, b.config.HandleFetch(now, change))
}

// announceStop returns the messages that announce a stop to the watchers and to random
// processes.
func (b *base) announceStop(now clock.Millis) []Action {
	var out []Action
	for _, send := range b.members.AnnounceStop(now) {
		out = append(out, b.memberAction(send))
	}
	return out
}
