package flow_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// This file compares strategies for routing packets of established flows. All run
// through the same events: half of the flows open, a third of the servers drains and
// the other flows open; two servers are added one after the other, and half of the
// balancers receive each change late; a balancer is replaced; an agent restarts while
// its server keeps running.

// balancerView is the state of one balancer.
type balancerView struct {
	declared  place.Table
	admitting place.Table // without the draining servers
	cache     map[uint64]place.ID
}

// simulation is the state of one run.
type simulation struct {
	random     *rand.Rand
	servers    []place.ID
	draining   map[place.ID]bool
	views      []*balancerView
	owner      map[uint64]place.ID
	homeOwners map[place.ID]map[uint64]place.ID // by home agent and hash: the owner recorded there
	hops       int                              // between agents, of all packets
	packets    int
	broken     map[uint64]bool // flows with a packet that did not reach the owner
}

func tableOf(ids []place.ID) place.Table {
	var members []place.Member
	for _, id := range ids {
		members = append(members, place.Member{ID: id})
	}
	return place.New(members)
}

func newSimulation(servers int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(1, uint64(servers))), draining: make(map[place.ID]bool),
		owner: make(map[uint64]place.ID), homeOwners: make(map[place.ID]map[uint64]place.ID), broken: make(map[uint64]bool),
	}
	for i := range servers {
		sim.servers = append(sim.servers, place.IDOf(fmt.Sprint("server", i)))
	}
	for range 4 {
		sim.views = append(sim.views, &balancerView{cache: make(map[uint64]place.ID)})
	}
	sim.updateViews(sim.views)
	return sim
}

// updateViews sends the present servers to some balancers.
func (sim *simulation) updateViews(views []*balancerView) {
	var admitting []place.ID
	for _, id := range sim.servers {
		if !sim.draining[id] {
			admitting = append(admitting, id)
		}
	}
	declaredTable, admittingTable := tableOf(sim.servers), tableOf(admitting)
	for _, v := range views {
		v.declared, v.admitting = declaredTable, admittingTable
	}
}

func firstRanked(t place.Table, hash uint64) place.ID {
	var ranked [1]place.ID
	t.Rank(hash, ranked[:])
	return ranked[0]
}

// rankedAgents returns the order in which agents forward a packet. The tables of
// agents are always up to date.
func (sim *simulation) rankedAgents(hash uint64) []place.ID {
	var ranked [flow.DefaultMaxHops]place.ID
	count := sim.views[0].declared.Rank(hash, ranked[:])
	return slices.Clone(ranked[:count])
}

// strategy is one way to route packets. open returns the agent that admits a new
// flow. route returns the agent that finally receives a later packet, and how often
// the packet was forwarded between agents.
type strategy struct {
	name  string
	open  func(sim *simulation, v *balancerView, hash uint64) place.ID
	route func(sim *simulation, v *balancerView, hash uint64) (place.ID, int)
}

func openFirstAdmitting(_ *simulation, v *balancerView, hash uint64) place.ID {
	id := firstRanked(v.admitting, hash)
	v.cache[hash] = id
	return id
}

func openFirstNotDraining(sim *simulation, _ *balancerView, hash uint64) place.ID {
	for _, id := range sim.rankedAgents(hash) {
		if !sim.draining[id] {
			return id
		}
	}
	return 0
}

func routeByHash(_ *simulation, v *balancerView, hash uint64) (place.ID, int) {
	return firstRanked(v.admitting, hash), 0
}

func routeByHashAndCache(_ *simulation, v *balancerView, hash uint64) (place.ID, int) {
	if id, ok := v.cache[hash]; ok {
		return id, 0
	}
	v.cache[hash] = firstRanked(v.admitting, hash)
	return v.cache[hash], 0
}

// routeInRankOrder sends the packet to the first agent in the balancer's table. From
// there, agents forward it in rank order until it reaches the owner.
func routeInRankOrder(sim *simulation, v *balancerView, hash uint64) (place.ID, int) {
	entry := firstRanked(v.declared, hash)
	if sim.owner[hash] == entry {
		return entry, 0
	}
	hops := 0
	for _, id := range sim.rankedAgents(hash) {
		if id != entry {
			hops++
		}
		if id == sim.owner[hash] {
			return id, hops
		}
	}
	return 0, hops
}

func routeInRankOrderWithHints(sim *simulation, v *balancerView, hash uint64) (place.ID, int) {
	if id, ok := v.cache[hash]; ok {
		return id, 0
	}
	id, hops := routeInRankOrder(sim, v, hash)
	if hops > 0 {
		v.cache[hash] = id
	}
	return id, hops
}

// openAndRecordAtHome records the owner at the flow's home, the first agent that is
// ranked for it.
func openAndRecordAtHome(sim *simulation, v *balancerView, hash uint64) place.ID {
	id := openFirstNotDraining(sim, v, hash)
	sim.recordOwner(firstRanked(sim.views[0].declared, hash), hash, id)
	return id
}

func (sim *simulation) recordOwner(home place.ID, hash uint64, owner place.ID) {
	if sim.homeOwners[home] == nil {
		sim.homeOwners[home] = make(map[uint64]place.ID)
	}
	sim.homeOwners[home][hash] = owner
}

func routeByHome(sim *simulation, v *balancerView, hash uint64) (place.ID, int) {
	home := firstRanked(v.declared, hash)
	if home == sim.owner[hash] {
		return home, 0
	}
	if id, ok := sim.homeOwners[home][hash]; ok {
		return id, 1
	}
	return home, 0
}

var strategies = []strategy{
	{"a hash only", openFirstAdmitting, routeByHash},
	{"b hash and cache", openFirstAdmitting, routeByHashAndCache},
	{"c walk", openFirstNotDraining, routeInRankOrder},
	{"d walk and hints", openFirstNotDraining, routeInRankOrderWithHints},
	{"e home", openAndRecordAtHome, routeByHome},
}

const flowCount = 20_000

func (sim *simulation) openFlows(s strategy, from, to int) {
	for i := from; i < to; i++ {
		hash := sim.flowHash(i)
		sim.owner[hash] = s.open(sim, sim.views[sim.random.IntN(len(sim.views))], hash)
	}
}

func (sim *simulation) flowHash(i int) uint64 {
	return uint64(place.IDOf(fmt.Sprint("flow", i)))
}

// sendPackets sends two packets of every flow, each through a random balancer.
func (sim *simulation) sendPackets(s strategy) {
	for range 2 {
		for i := range len(sim.owner) {
			hash := sim.flowHash(i)
			id, hops := s.route(sim, sim.views[sim.random.IntN(len(sim.views))], hash)
			sim.hops += hops
			sim.packets++
			if id != sim.owner[hash] {
				sim.broken[hash] = true
			}
		}
	}
}

func (sim *simulation) addServer(s strategy, name string) {
	sim.servers = append(sim.servers, place.IDOf(name))
	sim.updateViews(sim.views[:2])
	sim.sendPackets(s)
	sim.updateViews(sim.views[2:])
	sim.sendPackets(s)
}

// run runs all events for one strategy.
func (sim *simulation) run(s strategy) {
	sim.openFlows(s, 0, flowCount/2)
	for i := 0; i*3 < len(sim.servers); i++ {
		sim.draining[sim.servers[i]] = true
	}
	sim.updateViews(sim.views)
	sim.sendPackets(s)
	sim.openFlows(s, flowCount/2, flowCount)
	sim.sendPackets(s)
	sim.addServer(s, "added 1")
	sim.addServer(s, "added 2")
	sim.views[3].cache = make(map[uint64]place.ID)
	sim.sendPackets(s)
	delete(sim.homeOwners, sim.servers[len(sim.servers)/2])
	sim.sendPackets(s)
}

func BenchmarkWhereEstablishedFlowsGo(b *testing.B) {
	for _, servers := range []int{3, 7, 1000} {
		for _, s := range strategies {
			b.Run(fmt.Sprintf("%d/%s", servers, s.name), func(b *testing.B) {
				for range b.N {
					sim := newSimulation(servers)
					sim.run(s)
					b.ReportMetric(float64(len(sim.broken))*100_000/flowCount, "broken/100k")
					b.ReportMetric(float64(sim.hops)/float64(sim.packets), "hops/packet")
				}
			})
		}
	}
}
