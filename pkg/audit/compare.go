package audit

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
)

// compare adds the differences from the configuration in force. Routes are the same if
// they have the same address, as in steer.Registry.
func (c *checker) compare() {
	before, after := effectiveRoutes(c.InForce.Routes), effectiveRoutes(c.Config.Routes)
	for i, r := range c.InForce.Routes {
		if _, kept := after[r.Address]; !kept && before[r.Address] == i {
			c.add(Difference, RouteRemoved, "", "route %q at %s is removed: its open flows are reset at their next packet", r.Name, r.Address)
		}
	}
	for i, r := range c.Config.Routes {
		if after[r.Address] != i {
			continue
		}
		path := fmt.Sprintf("Routes[%d]", i)
		if j, ok := before[r.Address]; ok {
			c.compareRoute(path, c.InForce.Routes[j], r)
		} else {
			c.add(Difference, RouteAdded, path, "route %q at %s is added", r.Name, r.Address)
		}
	}
	c.compareColdRates()
}

// compareRoute adds the differences between two versions of one route.
func (c *checker) compareRoute(path string, old, r steer.Route) {
	shares, oldShares := sharesOf(r), sharesOf(old)
	switch {
	case !slices.Equal(slices.Sorted(maps.Keys(shares)), slices.Sorted(maps.Keys(oldShares))):
		c.add(Difference, ServicesChanged, path+".Targets", "services of route %q: %s, before %s; open flows stay, but those at former services are not found again after the longest life of a flow", r.Name, describe(shares), describe(oldShares))
	case !maps.Equal(shares, oldShares):
		c.add(Difference, WeightsChanged, path+".Targets", "weights of route %q: %s, before %s", r.Name, describe(shares), describe(oldShares))
	}
	if r.Repeatable != old.Repeatable {
		c.add(Difference, RepeatableChanged, path+".Repeatable", "requests of route %q may be repeated: %t, before %t", r.Name, r.Repeatable, old.Repeatable)
	}
	c.compareLimit(TimeLimitChanged, path+".TimeLimit", "time limit", r.Name, r.TimeLimit, old.TimeLimit)
	c.compareLimit(GoalChanged, path+".Goal", "goal", r.Name, r.Goal, old.Goal)
	if r.Priority != old.Priority {
		c.add(Difference, PriorityChanged, path+".Priority", "priority of route %q: %d, before %d", r.Name, r.Priority, old.Priority)
	}
	if r.Name != old.Name {
		c.add(Difference, NameChanged, path+".Name", "route %q was named %q", r.Name, old.Name)
	}
}

func (c *checker) compareLimit(k Kind, path, what, route string, limit, old clock.Millis) {
	if limit != old {
		c.add(Difference, k, path, "%s of route %q: %v, before %v", what, route, limit, old)
	}
}

// compareColdRates adds the differences between the cold rates of services. A service
// without an entry has none.
func (c *checker) compareColdRates() {
	before, after := make(map[string]float64), make(map[string]float64)
	for _, s := range c.InForce.Services {
		before[s.Name] = s.ColdRate
	}
	for _, s := range c.Config.Services {
		after[s.Name] = s.ColdRate
	}
	for i, s := range c.Config.Services {
		if rate, ok := after[s.Name]; ok && rate != before[s.Name] {
			c.add(Difference, ColdRateChanged, fmt.Sprintf("Services[%d].ColdRate", i), "cold rate of service %q: %v, before %v", s.Name, rate, before[s.Name])
		}
		delete(after, s.Name)
		delete(before, s.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if before[name] != 0 {
			c.add(Difference, ColdRateChanged, "", "cold rate of service %q: not set, before %v", name, before[name])
		}
	}
}

// sharesOf returns the weight of each service of a route. Weights below 0 count as 0,
// and that of an only service as 1.
func sharesOf(r steer.Route) map[string]int {
	out := make(map[string]int, len(r.Targets))
	for _, t := range r.Targets {
		out[t.Service] += max(0, t.Weight)
	}
	if len(r.Targets) == 1 {
		out[r.Targets[0].Service] = 1
	}
	return out
}

// describe lists services with their weights, by name.
func describe(shares map[string]int) string {
	parts := make([]string, 0, len(shares))
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, shares[name]))
	}
	return strings.Join(parts, " ")
}
