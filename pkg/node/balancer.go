package node

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/member"
	"dogwoodlanding.example/dogwood/pkg/packet"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"dogwoodlanding.example/dogwood/pkg/wire"
)

// DefaultCacheFlows is the default number of flows whose owners a balancer caches.
const DefaultCacheFlows = 1 << 19

// Balancer decides for each packet which agent it is forwarded to. All its state can
// be lost at any time: the owner cache only saves hops. Set the exported fields before
// the first call. It is not safe for concurrent use.
type Balancer struct {
	Identity   Identity
	CacheFlows int // flows whose owners are cached; zero means DefaultCacheFlows

	base
	ownerCache *flow.Cache
	routes     map[endpointKey]*route
	counts     BalancerCounts
}

// BalancerCounts counts a balancer's decisions since its start. The field names become
// metric names.
type BalancerCounts struct {
	Forwarded  uint64
	Hinted     uint64 // forwarded to the cached owner; also in Forwarded
	NoService  uint64 // dropped: addressed to no service
	NotReady   uint64 // dropped: no configuration yet, or stale view after a suspension
	NoAgent    uint64 // dropped: no agent of the service can be reached
	HintsHeard uint64 // hints received from agents
}

// route holds what a balancer needs to forward packets of one endpoint.
type route struct {
	service string
	table   place.Table
	carries conf.TrafficKind
}

func (b *Balancer) init() {
	if b.initialized {
		return
	}
	b.initBase(b.Identity, b.reconfigure)
	if b.CacheFlows == 0 {
		b.CacheFlows = DefaultCacheFlows
	}
	b.ownerCache = flow.NewCache(b.CacheFlows)
}

// reconfigure rebuilds the routes of the services that a change affects.
func (b *Balancer) reconfigure(_ clock.Millis, activation *spread.Activation) {
	delta := activation.Set.Delta()
	if delta.Everything {
		b.routes = make(map[endpointKey]*route, len(b.endpoints))
		for _, service := range activation.Set.Services {
			b.addRoutes(activation.Set, service.Name)
		}
		return
	}
	for key, target := range b.routes {
		if slices.Contains(delta.Services, target.service) {
			delete(b.routes, key)
		}
	}
	for _, name := range delta.Services {
		b.addRoutes(activation.Set, name)
	}
}

// addRoutes adds a route for each endpoint of a service.
func (b *Balancer) addRoutes(set conf.Set, service string) {
	table := placementOf(set, service)
	for _, key := range b.endpointsOf[service] {
		b.routes[key] = &route{service, table, b.endpoints[key].carries}
	}
}

// placementOf builds the placement table of a service over its declared servers.
func placementOf(set conf.Set, service string) place.Table {
	var members []place.Member
	for _, server := range set.ServersOf(service) {
		members = append(members, place.Member{ID: place.IDOf(server.Name), Weight: server.EffectiveWeight()})
	}
	return place.New(members)
}

// Counts returns the counters.
func (b *Balancer) Counts() BalancerCounts { return b.counts }

// Tick runs the periodic work. Call it several times a second.
func (b *Balancer) Tick(now clock.Millis) []Action {
	b.init()
	return b.tickBase(now)
}

// Control handles a control message from another process.
func (b *Balancer) Control(now clock.Millis, m wire.Message) []Action {
	b.init()
	if m.Hint != nil {
		b.handleHint(now, *m.Hint)
		return nil
	}
	return b.handleShared(now, m)
}

// handleHint caches the owner of a flow, or drops the entry of one that has ended.
func (b *Balancer) handleHint(now clock.Millis, h wire.Hint) {
	b.counts.HintsHeard++
	if h.Owner == 0 {
		b.ownerCache.Delete(h.Hash)
		return
	}
	b.ownerCache.Put(now, h.Hash, h.Owner)
}

// Stop returns the messages that announce the process's stop to other processes.
func (b *Balancer) Stop(now clock.Millis) []Action {
	b.init()
	return b.announceStop(now)
}

// Route decides which agent a packet is forwarded to. It reports false if the packet
// must be dropped. While the view is stale, first packets and requests are dropped, but
// packets of established flows are forwarded. Route does not allocate.
func (b *Balancer) Route(now clock.Millis, info *packet.Info) (place.ID, bool) {
	b.init()
	b.detectSuspension(now)
	target := b.routes[endpointKey{info.Key.TargetIP, info.Key.TargetPort, info.Key.Protocol}]
	switch {
	case !b.config.Ready(now) || b.viewStale && (info.OpensConnection || target != nil && target.carries == conf.CarryRequests):
		b.counts.NotReady++
		return 0, false
	case target == nil:
		b.counts.NoService++
		return 0, false
	}
	hash := info.Key.Hash()
	if target.carries == conf.CarryRequests {
		return b.countRoute(b.pickAgent(target, hash, member.Draining))
	}
	if !info.OpensConnection {
		if owner := b.ownerCache.Get(now, hash); owner != 0 && target.table.Contains(owner) && b.members.Alive(owner) {
			b.counts.Hinted++
			return b.countRoute(owner, true)
		}
	}
	return b.countRoute(b.pickAgent(target, hash, member.Stopped))
}

// countRoute counts a routing decision and returns it.
func (b *Balancer) countRoute(id place.ID, ok bool) (place.ID, bool) {
	if ok {
		b.counts.Forwarded++
	} else {
		b.counts.NoAgent++
	}
	return id, ok
}

// shortRankLength is how many agents are ranked at first. More are ranked only if none
// of these can be chosen.
const shortRankLength = 4

// pickAgent returns the first agent in the placement order that can be reached and
// whose state precedes the given one, or else the first that can be reached.
func (b *Balancer) pickAgent(target *route, hash uint64, before member.State) (place.ID, bool) {
	var best [shortRankLength]place.ID
	count := target.table.Rank(hash, best[:])
	if id, ok := b.firstAlive(best[:count], before); ok {
		return id, ok
	}
	var ranked [flow.DefaultMaxHops]place.ID
	count = target.table.Rank(hash, ranked[:])
	if id, ok := b.firstAlive(ranked[:count], before); ok {
		return id, ok
	}
	return b.firstAlive(ranked[:count], member.Stopped)
}

// firstAlive returns the first listed process that can be reached and whose state
// precedes the given one.
func (b *Balancer) firstAlive(ids []place.ID, before member.State) (place.ID, bool) {
	for _, id := range ids {
		if b.members.Alive(id) && b.members.State(id) < before {
			return id, true
		}
	}
	return 0, false
}
