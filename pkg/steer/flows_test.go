package steer_test

import (
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

func TestAnyBalancerFindsTheServerOfAFlow(t *testing.T) {
	w := newWorld(t, 7, 2)
	for port := 1000; port < 1050; port++ {
		owner := w.open(w.balancers[0], port)
		assert.Assert(t, owner != nil)
		assert.Equal(t, w.send(w.balancers[1], data(port, owner.server)), owner)
	}
	assert.Equal(t, len(w.resets), 0)
}

func TestFlowSurvivesTheRestartOfItsAgent(t *testing.T) {
	w := newWorld(t, 7, 2)
	owner := w.open(w.balancers[0], 1000)
	for _, h := range w.hosts {
		h.restartAgent()
	}
	assert.Equal(t, w.send(w.balancers[0], data(1000, owner.server)), owner)
	assert.Equal(t, w.send(w.balancers[1], data(1000, owner.server)), owner)
}

func TestFlowKeepsItsServerWhileItDrainsOrLosesItsEntry(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(w *world, h *host) steer.Change
	}{
		{"draining", func(w *world, h *host) steer.Change {
			return steer.Change{Server: w.entry(w.idOf(h), steer.Leaving)}
		}},
		{"entry lapsed", func(_ *world, h *host) steer.Change { return steer.Change{Removed: h.name} }},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newWorld(t, 5, 2)
			owner := w.open(w.balancers[0], 1000)
			w.tell(row.change(w, owner))
			w.now += 4000
			w.tell()
			assert.Equal(t, w.send(w.balancers[0], data(1000, owner.server)), owner)
			assert.Equal(t, w.send(w.balancers[1], data(1000, owner.server)), owner)
			for port := 2000; port < 2050; port++ {
				assert.Assert(t, w.open(w.balancers[port%2], port) != owner, "a new flow")
			}
		})
	}
}

func TestResetOnlyWhenEveryoneHasDenied(t *testing.T) {
	for _, row := range []struct {
		name   string
		break_ func(w *world, owner, other *host)
		resets int
	}{
		{"the server forgot the flow", func(_ *world, owner, _ *host) { owner.server.flows = map[keyType]bool{} }, 1},
		{"the server forgot it and another agent is down", func(_ *world, owner, other *host) {
			owner.server.flows, other.down = map[keyType]bool{}, true
		}, 0},
		{"the agent of the server is down", func(_ *world, owner, _ *host) { owner.down = true }, 0},
		{"the server does not answer", func(_ *world, owner, _ *host) { owner.server.silent = true }, 0},
		{"nothing listens at the server's address", func(w *world, owner, _ *host) {
			owner.server = nil
			owner.agent.Refused(w.now)
		}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newWorld(t, 4, 1)
			owner := w.open(w.balancers[0], 1000)
			p := data(1000, owner.server)
			var other *host
			for _, h := range w.hosts {
				if h != owner {
					other = h
				}
			}
			row.break_(w, owner, other)
			w.send(w.balancers[0], p)
			assert.Equal(t, len(w.resets), row.resets)
		})
	}
}

// A server that drained and lost its entry may have left, or its entry lapsed.
func TestFlowOfADrainedServerWithoutAnEntry(t *testing.T) {
	for _, row := range []struct {
		name   string
		left   bool // the server's host is gone
		resets int
	}{{"its entry lapsed", false, 0}, {"it has left", true, 1}} {
		t.Run(row.name, func(t *testing.T) {
			w := newWorld(t, 4, 1)
			b := w.balancers[0]
			owner := w.open(b, 1000)
			w.tell(steer.Change{Server: w.entry(w.idOf(owner), steer.Leaving)}, steer.Change{Removed: owner.name})
			assert.Equal(t, w.send(b, data(1000, owner.server)), owner)
			owner.down = row.left
			for range 30 { // the agent answers pings if it is there
				w.send(b, data(1000, owner.server))
				w.now += 100
				w.tell()
				b.Tick(w.now, func(id steerID) {
					if !w.hosts[id].down {
						b.Heard(w.now, id, &steer.Message{Kind: steer.Pong})
					}
				})
			}
			w.resets = nil
			found := w.send(b, data(1000, owner.server))
			assert.Equal(t, found == owner, !row.left)
			assert.Equal(t, len(w.resets), row.resets)
		})
	}
}

// Whether a drained server that does not answer has left is judged by a word of the
// platform that was asked for after its entry should have been back. A search that
// ends there asks for one.
func TestSearchThatEndsAtADrainedServerAsksAgain(t *testing.T) {
	w := newWorld(t, 4, 1)
	b := w.balancers[0]
	owner := w.open(b, 1000)
	w.tell(steer.Change{Server: w.entry(w.idOf(owner), steer.Leaving)}, steer.Change{Removed: owner.name})
	owner.down = true
	for range 20 {
		w.send(b, data(1000, owner.server))
		w.now += 100
		b.Tick(w.now, func(steerID) {})
	}
	b.Registry.Heard(w.now, w.now) // the entry may still return
	w.now += 200
	w.drops = nil
	w.send(b, data(1000, owner.server))
	assert.DeepEqual(t, w.drops, []steer.Reason{steer.StaleView})
	_, ok := b.Resume(w.now)
	assert.Assert(t, !ok, "without a newer word")
	repeated := b.FromCaller(w.now, steer.Packet{Key: key(1000), First: true, Copy: 1}, &steer.Message{})
	assert.Equal(t, repeated.Verdict, steer.Offer, "first packets are not searched for")
	w.now += 5
	b.Registry.Heard(w.now, w.now)
	r, ok := b.Resume(w.now)
	assert.Assert(t, ok)
	assert.Equal(t, r.Decision.Reason, steer.Searching, "the others are asked")
	assert.Assert(t, w.send(b, data(1000, owner.server)) == nil)
	assert.Equal(t, len(w.resets), 1)
}

// A server that starts again at an address where nothing listened is found.
func TestServerAtARefusedAddressIsTriedAgain(t *testing.T) {
	w := newWorld(t, 1, 1)
	var only *host
	for _, h := range w.hosts {
		only = h
	}
	only.agent.Refused(w.now)
	assert.Assert(t, w.open(w.balancers[0], 1000) == nil)
	w.now += 250
	assert.Assert(t, w.open(w.balancers[0], 1001) != nil)
	assert.Assert(t, w.open(w.balancers[0], 1002) != nil)
}

func TestStaleViewDoesNotReset(t *testing.T) {
	w := newWorld(t, 3, 1)
	owner := w.open(w.balancers[0], 1000)
	p := data(1000, owner.server)
	owner.server.flows = map[keyType]bool{}
	w.now += 20 * clock.Second
	w.send(w.balancers[0], p)
	assert.Equal(t, len(w.resets), 0)
	assert.DeepEqual(t, w.drops, []steer.Reason{steer.StaleView})
}

func TestCopiesOfAFirstPacketOpenAtTwoServersAndOneWins(t *testing.T) {
	w := newWorld(t, 5, 2)
	first := w.send(w.balancers[0], steer.Packet{Key: key(1000), First: true})
	second := w.send(w.balancers[1], steer.Packet{Key: key(1000), First: true, Copy: 1})
	assert.Assert(t, first != second, "the copy should have gone to another server")
	for _, b := range w.balancers {
		assert.Equal(t, w.send(b, data(1000, first.server)), first)
	}
}

func TestUnsureWalkEnds(t *testing.T) {
	w := newWorld(t, 9, 2)
	owner := w.open(w.balancers[0], 1000)
	w.tell(steer.Change{Centre: owner.centre, TakenOut: true, Revision: 100})
	w.now += 6000
	w.tell()
	w.offers = 0
	w.send(w.balancers[1], data(1000, owner.server))
	assert.Assert(t, w.offers <= len(w.hosts), "%d offers", w.offers)
	assert.Equal(t, len(w.resets), 0)
}

func TestPacketsOfAFlowThatCannotBeAskedForReachNoOtherServer(t *testing.T) {
	for _, row := range []struct {
		name string
		hide func(w *world, owner *host)
	}{
		{"its data centre was taken out", func(w *world, owner *host) {
			w.tell(steer.Change{Centre: owner.centre, TakenOut: true, Revision: 100})
			w.now += 6000
			w.tell()
		}},
		{"its agent is silent", func(w *world, owner *host) {
			owner.down = true
			for port := 5000; port < 5100; port++ {
				w.send(w.balancers[1], steer.Packet{Key: key(port), First: true})
			}
			w.now += 200
			w.balancers[1].Tick(w.now, func(steerID) {})
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			for port := 1000; port < 1030; port++ {
				w := newWorld(t, 9, 2)
				owner := w.openAtThirdChoice(w.balancers[0], port)
				row.hide(w, owner)
				for _, h := range w.hosts {
					h.restartAgent()
				}
				for range 20 {
					w.send(w.balancers[1], data(port, owner.server))
					w.now += 400
				}
				assert.Assert(t, w.received() < 3, "%d packets at other servers", w.received())
				assert.Equal(t, len(w.resets), 0)
			}
		})
	}
}

// A flow is found among more servers than an order ranks, and a search among
// more than one packet can be offered to ends in silence.
func TestSearchAmongManyServers(t *testing.T) {
	for _, row := range []struct {
		servers int
		lost    bool // the server has forgotten the flow
		resets  int
	}{{80, false, 0}, {80, true, 1}, {200, true, 0}} {
		w := newWorld(t, row.servers, 2)
		for port := 1000; port < 1020; port++ {
			owner := w.openAtOnlyChoice(w.balancers[0], port)
			if row.lost {
				owner.server.flows = map[keyType]bool{}
			}
			w.offers, w.resets = 0, nil
			found := w.send(w.balancers[1], data(port, owner.server))
			assert.Equal(t, found == owner, !row.lost)
			assert.Equal(t, len(w.resets), row.resets)
			assert.Assert(t, w.offers <= steer.MaxVisited, "%d offers", w.offers)
		}
	}
}

// openAtOnlyChoice opens a flow while all servers but one drain, so that its
// owner may stand anywhere in its order later.
func (w *world) openAtOnlyChoice(b *steer.Balancer, port int) *host {
	only := w.idOf(w.hosts[steer.AgentOf(netip.AddrFrom4([4]byte{10, byte(port%len(w.hosts)%3 + 1), 0, byte(port%len(w.hosts) + 1)}))])
	for id := range w.hosts {
		if id != only {
			w.tell(steer.Change{Server: w.entry(id, steer.Leaving)})
		}
	}
	w.tell(steer.Change{Server: w.entry(only, steer.Serving)})
	owner := w.open(b, port)
	for id := range w.hosts {
		w.tell(steer.Change{Server: w.entry(id, steer.Serving)})
	}
	return owner
}

// openAtThirdChoice opens a flow while its first two choices return first
// packets.
func (w *world) openAtThirdChoice(b *steer.Balancer, port int) *host {
	var full []*host
	for range 2 {
		h := w.open(b, port)
		h.server.full = true
		delete(h.server.flows, key(port))
		h.restartAgent()
		full = append(full, h)
	}
	owner := w.open(b, port)
	for _, h := range full {
		h.server.full = false
		h.server.got = nil
	}
	return owner
}

func TestServerListedAfterTheEvacuationHoldsNothing(t *testing.T) {
	w := newWorld(t, 3, 1)
	owner := w.open(w.balancers[0], 1000)
	p := data(1000, owner.server)
	w.revision = 100
	w.tell(steer.Change{Centre: owner.centre, TakenOut: true, Revision: 100})
	w.now += 6000
	replaced := w.entry(w.idOf(owner), steer.Serving)
	replaced.Name, replaced.Created, replaced.Born = "new", replaced.Revision, 1
	w.tell(steer.Change{Removed: owner.name}, steer.Change{Server: replaced})
	w.send(w.balancers[0], p)
	w.balancers[0] = fresh(w, replaced)
	w.send(w.balancers[0], p)
	assert.Equal(t, len(w.resets), 1)
}

// fresh is a balancer that has just listed the store.
func fresh(w *world, replaced *steer.Server) *steer.Balancer {
	b := &steer.Balancer{EvacuateBy: 1}
	listing := []steer.Change{{Config: config(1)}, {Server: replaced}, {Centre: replaced.DataCentre, TakenOut: true, Revision: 100}}
	for id, h := range w.hosts {
		if id != replaced.Agent {
			listing = append(listing, steer.Change{Server: w.entry(id, steer.Serving)})
			h.restartAgent()
		}
	}
	b.Registry.Heard(w.now, w.now)
	b.Registry.Replace(w.now, listing)
	w.now += 10
	return b
}

// A balancer that the platform has not answered for a while does not know of a
// server that others have sent flows to.
func TestFlowOfAServerThatTheBalancerHasNotHeardOf(t *testing.T) {
	for _, age := range []clock.Millis{1300, 3000, 7000} {
		w := newWorld(t, 3, 2)
		informed, deaf := w.balancers[0], w.balancers[1]
		id, entry := w.newServer("late")
		informed.Registry.Heard(w.now, w.now)
		informed.Registry.Apply(w.now, []steer.Change{{Server: entry}})
		w.now += age
		port := 1000
		for w.open(informed, port) != w.hosts[id] {
			port++
		}
		assert.Assert(t, w.send(deaf, data(port, w.hosts[id].server)) == nil)
		assert.Equal(t, len(w.resets), 0, "word %d ms old", age)

		deaf.Registry.Apply(w.now, []steer.Change{{Server: entry}})
		deaf.Registry.Heard(w.now, w.now)
		r, ok := deaf.Resume(w.now)
		assert.Assert(t, ok)
		assert.Equal(t, r.Decision, steer.Decision{Verdict: steer.Offer, Reason: steer.Searching, To: id})
	}
}

func TestPacketParkedForAFreshViewIsDecidedOnOnce(t *testing.T) {
	for _, row := range []struct {
		name  string
		asked clock.Millis // age of the question that the platform answers, 0 for no answer
		want  steer.Decision
	}{
		{"answered", 5, steer.Decision{Verdict: steer.Refuse, Reason: steer.EveryoneDenied, Service: "desk"}},
		{"not answered", 0, steer.Decision{Verdict: steer.Drop, Reason: steer.StaleView}},
		{"answer to an old question", 2000, steer.Decision{Verdict: steer.Drop, Reason: steer.StaleView}},
	} {
		w := newWorld(t, 3, 1)
		b := w.balancers[0]
		owner := w.open(b, 1000)
		owner.server.flows = map[keyType]bool{}
		w.now += 3 * clock.Second
		w.send(b, data(1000, owner.server))
		w.send(b, data(1000, owner.server)) // a copy
		_, ok := b.Resume(w.now)
		assert.Assert(t, !ok, row.name)
		w.now += 5
		if row.asked > 0 {
			b.Registry.Heard(w.now, w.now-row.asked)
		}
		r, ok := b.Resume(w.now)
		if !ok {
			w.now += 300
			r, ok = b.Resume(w.now)
		}
		assert.Assert(t, ok, row.name)
		assert.Equal(t, r.Decision, row.want, row.name)
		_, again := b.Resume(w.now)
		assert.Assert(t, !again, row.name)
	}
}

// A server that ends takes its host's agent with it. What the agent has seen of
// the end when it says goodbye decides whether flows may still be there.
func TestAgentSaysGoodbye(t *testing.T) {
	for _, row := range []struct {
		name   string
		reason steer.Reason
		again  bool // the server has been listed again since
		resets int
	}{
		{"its server has ended", steer.ServerGone, false, 1},
		{"its server may live", steer.NoReason, false, 0},
		{"another server has started there", steer.ServerGone, true, 0},
	} {
		w := newWorld(t, 3, 1)
		b := w.balancers[0]
		owner := w.open(b, 1000)
		owner.server.flows = map[keyType]bool{}
		for id, h := range w.hosts {
			if h != owner {
				w.tell(steer.Change{Server: w.entry(id, steer.Leaving)})
				h.down = true
				b.Heard(w.now, id, &steer.Message{Kind: steer.Goodbye, Reason: row.reason})
				if row.again {
					w.tell(steer.Change{Server: w.entry(id, steer.Serving)})
				}
			}
		}
		w.send(b, data(1000, owner.server))
		assert.Equal(t, len(w.resets), row.resets, row.name)
	}
}
