package steer_test

import (
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

func TestConfigurationNeverGoesBack(t *testing.T) {
	var r steer.Registry
	r.Apply(0, []steer.Change{{Config: config(7)}})
	notes := r.Apply(1, []steer.Change{{Config: config(5)}})
	assert.Equal(t, r.View(2).Version, uint64(7))
	assert.Equal(t, notes[0].State, "stale version ignored")
	assert.Equal(t, len(r.Apply(3, []steer.Change{{Config: config(7)}})), 0)
}

// Entries that lapsed while the platform was away return within two seconds of
// its return. Until then their servers take new flows.
func TestLapsedEntriesAreWaitedFor(t *testing.T) {
	for _, row := range []struct {
		name string
		seen bool // the balancer has noticed the outage
		wait clock.Millis
		back bool // the entry is listed again
		open bool
	}{
		{"just back", true, 1000, false, true},
		{"still missing after the wait", true, 3000, false, false},
		{"listed again", true, 3000, true, true},
		{"outage not noticed, just back", false, 1000, false, true},
		{"outage not noticed, still missing", false, 3000, false, false},
		{"outage not noticed, listed again", false, 3000, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newWorld(t, 1, 1)
			h := w.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
			r := &w.balancers[0].Registry
			if row.seen {
				assert.Assert(t, r.Lost())
				w.now += 5000
				assert.Assert(t, r.Heard(w.now, w.now))
				r.Replace(w.now, []steer.Change{{Config: config(1)}})
			} else { // a watch that outlived the outage
				r.Apply(w.now, []steer.Change{{Removed: h.name}})
			}
			w.now += row.wait
			r.Heard(w.now, w.now)
			if row.back {
				r.Apply(w.now-row.wait/2, []steer.Change{{Server: w.entry(w.idOf(h), steer.Serving)}})
			}
			assert.Equal(t, w.open(w.balancers[0], 1000) != nil, row.open)
		})
	}
}

// The platform fails again before the entries are seen to return.
func TestEntriesThatCannotBeSeenToReturnAreWaitedFor(t *testing.T) {
	w := newWorld(t, 1, 1)
	b := w.balancers[0]
	h := w.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
	b.Registry.Apply(w.now, []steer.Change{{Removed: h.name}})
	w.now += 1000
	b.Registry.Lost()
	w.now += 5000
	assert.Assert(t, w.open(b, 1000) != nil, "while the platform is away")
	b.Registry.Heard(w.now, w.now)
	w.now += 1000
	assert.Assert(t, w.open(b, 1001) != nil, "just after its return")
	w.now += 2000
	b.Registry.Heard(w.now, w.now)
	assert.Assert(t, w.open(b, 1002) == nil, "when the entry should be back")
	b.Registry.Lost()
	assert.Assert(t, w.open(b, 1003) == nil, "a later outage changes nothing")
}

// A connection that has gone silent without an error brings no returning entries
// either.
func TestSilentPlatformDoesNotTakeServersAway(t *testing.T) {
	w := newWorld(t, 1, 1)
	b := w.balancers[0]
	h := w.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))]
	w.tell(steer.Change{Removed: h.name})
	_, doubtful := b.Registry.Doubtful(w.now)
	assert.Assert(t, doubtful)
	w.now += 4500
	assert.Assert(t, w.open(b, 1000) != nil, "without a word for 4.5 s")
	b.Registry.Heard(w.now, w.now)
	w.now += 200
	assert.Assert(t, w.open(b, 1001) == nil, "after a word")
	w.now += 4500
	assert.Assert(t, w.open(b, 1002) == nil, "without a word again")
	_, doubtful = b.Registry.Doubtful(w.now)
	assert.Assert(t, !doubtful)
}

// An entry may return until the last moment of the wait, so only a word that was
// asked for after it tells that the entry is missing.
func TestReturnIsJudgedByALaterWord(t *testing.T) {
	w := newWorld(t, 1, 1)
	b := w.balancers[0]
	began := w.now
	w.tell(steer.Change{Removed: w.hosts[steer.AgentOf(netip.MustParseAddr("10.1.0.1"))].name})
	for i, row := range []struct {
		heard, asked clock.Millis // of the word, since the entry went
		now          clock.Millis
		wait         clock.Millis // until the next word is needed
		open         bool
	}{
		{1500, 1500, 1500, 600, true},
		{1900, 1900, 2200, 0, true},
		{2250, 2050, 2300, 0, true},
		{2350, 2150, 2350, 0, false},
	} {
		w.now = began + row.now
		b.Registry.Heard(began+row.heard, began+row.asked)
		wait, doubtful := b.Registry.Doubtful(w.now)
		assert.Equal(t, doubtful, row.open)
		assert.Equal(t, wait, row.wait)
		assert.Equal(t, w.open(b, 1000+i) != nil, row.open, "%d ms after the entry went", row.now)
	}
}

func TestListingReplacesWhatItDoesNotName(t *testing.T) {
	w := newWorld(t, 3, 1)
	r := &w.balancers[0].Registry
	r.Apply(w.now, []steer.Change{{Centre: "dc2", TakenOut: true}})
	notes := r.Replace(w.now, []steer.Change{{Config: config(1)}})
	states := map[string]int{}
	for _, n := range notes {
		states[n.Subject+" "+n.State]++
	}
	assert.DeepEqual(t, states, map[string]int{"server Missing": 3, "data centre in": 1})
}

func TestOldEntryDoesNotReplaceANewerOne(t *testing.T) {
	w := newWorld(t, 1, 1)
	id := steer.AgentOf(netip.MustParseAddr("10.1.0.1"))
	old := w.entry(id, steer.Serving)
	w.tell(steer.Change{Server: w.entry(id, steer.Leaving)}, steer.Change{Server: old})
	assert.Assert(t, w.open(w.balancers[0], 1000) == nil)
}

func TestNoViewBeforeTheFirstConfiguration(t *testing.T) {
	var b steer.Balancer
	assert.Assert(t, !b.Ready(0))
	var m steer.Message
	d := b.FromCaller(0, steer.Packet{Key: key(1), First: true}, &m)
	assert.Equal(t, d.Verdict, steer.Drop)
	assert.Equal(t, d.Reason, steer.NoView)
}

// Open flows stay where they are when their route is sent to another service.
func TestFlowsStayWhenTheirRouteGoesElsewhere(t *testing.T) {
	w := newWorld(t, 3, 2)
	owner := w.open(w.balancers[0], 1000)
	for version := uint64(2); version < 4; version++ {
		elsewhere := config(version)
		elsewhere.Routes[0].Targets = []steer.Target{{Service: "other", Weight: 1}}
		w.tell(steer.Change{Config: elsewhere})
		assert.Equal(t, w.send(w.balancers[1], data(1000, owner.server)), owner)
		assert.Assert(t, w.open(w.balancers[0], 1000+int(version)) == nil, "a new flow at the former service")
	}
	assert.Equal(t, len(w.resets), 2)
}

func TestRemovedRouteIsRefused(t *testing.T) {
	w := newWorld(t, 2, 1)
	owner := w.open(w.balancers[0], 1000)
	empty := config(2)
	empty.Routes = nil
	w.tell(steer.Change{Config: empty})
	w.send(w.balancers[0], data(1000, owner.server))
	w.open(w.balancers[0], 1001)
	assert.Equal(t, len(w.resets), 2)
}

// A server without an entry may hold flows until the last of them has reached the
// longest life that the settings allow.
func TestServerWithoutAnEntryIsAskedForTheLifeOfItsFlows(t *testing.T) {
	for _, row := range []struct {
		life, after clock.Millis
		asked       bool
	}{
		{0, 59 * clock.Second, true},
		{0, 61 * clock.Second, false},
		{120 * clock.Second, 119 * clock.Second, true},
		{10 * clock.Second, 11 * clock.Second, false},
	} {
		w := newWorld(t, 2, 1)
		b := w.balancers[0]
		b.Registry.FlowLife = row.life
		owner := w.open(b, 1000)
		w.tell(steer.Change{Server: w.entry(w.idOf(owner), steer.Leaving)}, steer.Change{Removed: owner.name})
		w.now += row.after
		w.tell()
		assert.Equal(t, w.send(b, data(1000, owner.server)) == owner, row.asked, "%d of %d ms", row.after, row.life)
	}
}
