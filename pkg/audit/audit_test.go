package audit_test

import (
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/audit"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// routeTo returns a route to targets at a port of one address.
func routeTo(port uint16, name string, targets ...steer.Target) steer.Route {
	return steer.Route{Name: name, Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), port), Targets: targets, Goal: 200, TimeLimit: 1500}
}

func target(service string, weight int) steer.Target {
	return steer.Target{Service: service, Weight: weight}
}

// kindsAndPaths lists findings without their reasons.
func kindsAndPaths(findings []audit.Finding) []string {
	var out []string
	for _, f := range findings {
		out = append(out, f.Severity.String()+" "+f.Kind.String()+" "+f.Path)
	}
	return out
}

// Entries without effect and limits that cannot be kept must be found, each at its place,
// and what is in order must not.
func TestCheckFindsEntriesWithoutEffect(t *testing.T) {
	late := routeTo(6, "late", target("a", 1))
	late.Goal, late.TimeLimit, late.Priority = 2000, 1500, -1
	long := routeTo(7, "long", target("a", 1))
	long.Goal, long.TimeLimit = -1, 61_000
	in := audit.Input{
		Config: steer.Config{Version: 5, Routes: []steer.Route{
			routeTo(1, "shadowed", target("a", 1)), routeTo(1, "used", target("a", 1)),
			routeTo(2, "some", target("a", 1), target("b", 0)), routeTo(3, "none", target("a", 0), target("b", -1)),
			routeTo(4, "only", target("drains", 0)), routeTo(5, "misspelt", target("aa", 1)), late, long,
		}, Services: []steer.Service{{Name: "a", ColdRate: -1}, {Name: "idle", ColdRate: 0.5}, {Name: "a", ColdRate: 10}}},
		Servers: []steer.Server{{Service: "a"}, {Service: "b"}, {Service: "drains", State: steer.Leaving}},
		Bounds:  audit.Bounds{Evacuate: 1600, Drain: 3699, Config: 1599, FlowLife: clock.Minute, StorePace: 1600},
	}
	assert.DeepEqual(t, kindsAndPaths(audit.Check(in)), []string{
		"warning Shadowed Routes[0].Address", "warning Shadowed Services[0]",
		"warning NoServers Routes[4].Targets[0].Service", "warning NoServers Routes[5].Targets[0].Service",
		"warning NoWeight Routes[2].Targets[1].Weight", "warning NoWeight Routes[3].Targets", "warning NoWeight Routes[4].Targets[0].Weight",
		"warning Unnamed Services[1].Name",
		"warning Contradiction Routes[6].Goal", "warning Contradiction Routes[6].Priority",
		"warning Contradiction Routes[7].Goal", "warning Contradiction Routes[7].TimeLimit",
		"warning Contradiction Services[0].ColdRate", "warning Contradiction Services[1].ColdRate",
		"warning Contradiction ", "warning Contradiction ",
	})
}

// Each difference must be reported, those that end or move flows first. A version that is
// not higher would be ignored without a word to the operator.
func TestCheckOrdersDifferencesByEffect(t *testing.T) {
	before := steer.Config{Version: 5, Routes: []steer.Route{
		routeTo(1, "same", target("a", 1)), routeTo(2, "removed", target("a", 1)), routeTo(3, "moved", target("a", 1)),
		routeTo(4, "shared", target("a", 1), target("b", 1)), routeTo(5, "limits", target("a", 1)), routeTo(6, "other", target("a", 1)),
	}, Services: []steer.Service{{Name: "a", ColdRate: 10}, {Name: "b", ColdRate: 10}}}
	limits := routeTo(5, "limits", target("a", 1))
	limits.Goal, limits.TimeLimit, limits.Priority, limits.Repeatable = 100, 1000, 2, true
	after := steer.Config{Version: 5, Routes: []steer.Route{
		routeTo(7, "added", target("a", 1)), limits, routeTo(6, "renamed", target("a", 1)), routeTo(1, "same", target("a", 1)),
		routeTo(3, "moved", target("b", 1)), routeTo(4, "shared", target("a", 1), target("b", 3)),
	}, Services: []steer.Service{{Name: "a", ColdRate: 20}}}
	assert.DeepEqual(t, kindsAndPaths(audit.Check(audit.Input{Config: after, InForce: &before})), []string{
		"error OldVersion Version", "warning NoServers Routes[4].Targets[0].Service",
		"change RouteRemoved ", "change ServicesChanged Routes[4].Targets", "change WeightsChanged Routes[5].Targets",
		"change ColdRateChanged Services[0].ColdRate", "change ColdRateChanged ", "change RepeatableChanged Routes[1].Repeatable",
		"change TimeLimitChanged Routes[1].TimeLimit", "change GoalChanged Routes[1].Goal", "change PriorityChanged Routes[1].Priority",
		"change NameChanged Routes[2].Name", "change RouteAdded Routes[0]",
	})
	next := before
	next.Version++
	assert.Equal(t, len(audit.Check(audit.Input{Config: next, InForce: &before})), 0)
}

// What the findings say must be what balancers do: the last route of an address is used, a
// route without positive weights serves nobody, an only service is used with weight 0 unless
// the route had another one, and a removed route refuses packets.
func TestBalancerActsAsFindingsSay(t *testing.T) {
	var b steer.Balancer
	b.Registry.ApplyListing(1000, []steer.Change{
		{Server: &steer.Server{Name: "a", Agent: steer.AgentOf(netip.MustParseAddr("10.1.0.1")), Service: "a", Slots: 2}},
		{Server: &steer.Server{Name: "b", Agent: steer.AgentOf(netip.MustParseAddr("10.1.0.2")), Service: "b", Slots: 2}},
	})
	version, now := uint64(0), clock.Millis(10_000)
	opensAt := func(routes ...steer.Route) (steer.Decision, steer.ServiceID) {
		version++
		now += 1000
		b.Registry.Apply(now, []steer.Change{{Config: &steer.Config{Version: version, Routes: routes}}})
		var m steer.Message
		source := netip.AddrPortFrom(netip.MustParseAddr("203.0.113.1"), uint16(1000+version))
		d := b.FromCaller(now, steer.Packet{Key: flow.NewKey(source, routeTo(1, "").Address, 6), SYN: true}, &m)
		return d, m.Service
	}
	_, service := opensAt(routeTo(1, "r", target("a", 1)), routeTo(1, "r", target("b", 1)))
	assert.Equal(t, service, steer.ServiceOf("b"))
	d, _ := opensAt(routeTo(1, "r", target("a", 0)))
	assert.Equal(t, d.Reason, steer.NoServer)
	now += 2 * clock.Minute
	_, service = opensAt(routeTo(1, "r", target("a", 0)))
	assert.Equal(t, service, steer.ServiceOf("a"))
	d, _ = opensAt(routeTo(1, "r", target("a", 0), target("b", 0)))
	assert.Equal(t, d.Reason, steer.NoServer)
	d, _ = opensAt()
	assert.Equal(t, d.Verdict, steer.Refuse)
	assert.Equal(t, d.Reason, steer.NoRoute)
}
