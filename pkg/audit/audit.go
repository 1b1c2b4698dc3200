// Package audit finds what is wrong with a configuration of the packet path before it is
// put in force: entries without effect, limits that contradict each other, and what
// differs from the configuration in force.
package audit

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
)

//go:generate go tool stringer -type=Severity,Kind -linecomment -output=audit_string.go

// Severity says how grave a finding is.
type Severity uint8

// Severities. A trailing comment is the text that String returns.
const (
	// The configuration, or a part of it, would not come into force.
	Error Severity = iota // error
	// It would come into force, but hardly do what was intended.
	Warning // warning
	// It differs from the configuration in force.
	Difference // change
)

// Kind is the kind of a finding. Findings of one severity are ordered by it, and so
// differences by their effect.
type Kind uint8

// Kinds of findings.
const (
	// Rejected: the platform's decoder skips the entry, or rejects the whole text.
	Rejected Kind = iota
	// OldVersion: balancers ignore a version that is not higher than the one in force.
	OldVersion
	// Shadowed: a later entry with the same address or name is used instead.
	Shadowed
	// NoServers: no server of a service takes new flows.
	NoServers
	// NoWeight: the weight is not positive, so that no new flows follow from it.
	NoWeight
	// Unnamed: no route names the service.
	Unnamed
	// Contradiction: a limit contradicts another one, or cannot be kept.
	Contradiction

	// RouteRemoved ends open flows.
	RouteRemoved
	// ServicesChanged moves new flows to other services, and ends the search for open
	// ones at the former services after the longest life of a flow.
	ServicesChanged
	// WeightsChanged moves new flows between the same services.
	WeightsChanged
	// ColdRateChanged changes how many new flows servers get after their start.
	ColdRateChanged
	// RepeatableChanged changes whether flows of silent agents are reset.
	RepeatableChanged
	// TimeLimitChanged, GoalChanged and PriorityChanged change the order of queues.
	TimeLimitChanged
	GoalChanged
	PriorityChanged
	// NameChanged also draws the shares of a route with several services anew.
	NameChanged
	RouteAdded
)

// Finding is one result of Check.
type Finding struct {
	Severity Severity
	Kind     Kind
	// Path is the place in the checked configuration by the names of steer.Config, for
	// example Routes[3].Targets[0].Weight. It is empty if the finding is not about a
	// place in it.
	Path   string
	Reason string
}

// Bounds are a balancer's times to act on changes. Those that are 0 are not checked.
type Bounds struct {
	Evacuate, Drain, Config clock.Millis
	// FlowLife is the longest life of a flow.
	FlowLife clock.Millis
	// StorePace is how long after a change in the store a balancer may read it.
	StorePace clock.Millis
}

// Input is what Check compares.
type Input struct {
	Config  steer.Config  // without routes that the decoder skips
	InForce *steer.Config // nil if not known
	// Servers are all servers; nil if not known.
	Servers []steer.Server
	Bounds  Bounds
}

// Check returns the findings on a configuration, errors first and the differences from
// the configuration in force last.
func Check(in Input) []Finding {
	c := checker{Input: in}
	if in.InForce != nil && in.Config.Version <= in.InForce.Version {
		c.add(Error, OldVersion, "Version", "version %d is not higher than version %d in force: balancers ignore this configuration", in.Config.Version, in.InForce.Version)
	}
	c.checkShadowed()
	c.checkServices()
	for i, r := range in.Config.Routes {
		c.checkWeights(fmt.Sprintf("Routes[%d]", i), r)
		c.checkLimits(fmt.Sprintf("Routes[%d]", i), r)
	}
	c.checkBounds()
	if in.InForce != nil {
		c.compare()
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Kind, b.Kind))
	})
	return c.findings
}

// checker collects the findings on one configuration.
type checker struct {
	Input
	findings []Finding
}

func (c *checker) add(s Severity, k Kind, path, format string, args ...any) {
	c.findings = append(c.findings, Finding{s, k, path, fmt.Sprintf(format, args...)})
}

// effectiveRoutes returns the index of the route in force for each address: steer.View
// uses the last one.
func effectiveRoutes(routes []steer.Route) map[netip.AddrPort]int {
	out := make(map[netip.AddrPort]int, len(routes))
	for i, r := range routes {
		out[r.Address] = i
	}
	return out
}

// checkShadowed warns about routes and services with a later entry for the same address
// or name.
func (c *checker) checkShadowed() {
	last := effectiveRoutes(c.Config.Routes)
	for i, r := range c.Config.Routes {
		if by := last[r.Address]; by != i {
			c.add(Warning, Shadowed, fmt.Sprintf("Routes[%d].Address", i), "route %q never matches: the later route %q has the same address %s", r.Name, c.Config.Routes[by].Name, r.Address)
		}
	}
	services := make(map[string]int)
	for i, s := range c.Config.Services {
		if before, ok := services[s.Name]; ok {
			c.add(Warning, Shadowed, fmt.Sprintf("Services[%d]", before), "a later entry for service %q is used instead", s.Name)
		}
		services[s.Name] = i
	}
}

// checkServices warns about services that no route names, that have no entry, or that
// have no servers for new flows.
func (c *checker) checkServices() {
	declared, takes, lists := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, s := range c.Config.Services {
		declared[s.Name] = true
	}
	for _, s := range c.Servers {
		lists[s.Service] = true
		takes[s.Service] = takes[s.Service] || s.State == steer.Serving
	}
	named := make(map[string]bool)
	for i, r := range c.Config.Routes {
		for j, t := range r.Targets {
			if named[t.Service] {
				continue
			}
			named[t.Service] = true
			path := fmt.Sprintf("Routes[%d].Targets[%d].Service", i, j)
			switch {
			case t.Service == "":
				c.add(Warning, NoServers, path, "route %q names no service", r.Name)
			case c.Servers != nil && !lists[t.Service]:
				c.add(Warning, NoServers, path, "service %q has no servers", t.Service)
			case c.Servers != nil && !takes[t.Service]:
				c.add(Warning, NoServers, path, "all servers of service %q drain", t.Service)
			case c.Servers == nil && len(declared) > 0 && !declared[t.Service]:
				c.add(Warning, NoServers, path, "service %q has no entry of its own; is the name right?", t.Service)
			}
		}
	}
	for i, s := range c.Config.Services {
		if !named[s.Name] {
			c.add(Warning, Unnamed, fmt.Sprintf("Services[%d].Name", i), "no route names service %q", s.Name)
		}
	}
}

// checkWeights warns about targets that get no new flows.
func (c *checker) checkWeights(path string, r steer.Route) {
	positive := func(t steer.Target) bool { return t.Weight > 0 }
	if len(r.Targets) > 1 && !slices.ContainsFunc(r.Targets, positive) {
		c.add(Warning, NoWeight, path+".Targets", "no weight of route %q is positive: its new flows find no server", r.Name)
		return
	}
	for j, t := range r.Targets {
		switch place := fmt.Sprintf("%s.Targets[%d].Weight", path, j); {
		case positive(t):
		case len(r.Targets) == 1:
			c.add(Warning, NoWeight, place, "weight %d of the only service %q of route %q: it gets all new flows, but none for the longest life of a flow if the route had another service before", t.Weight, t.Service, r.Name)
		default:
			c.add(Warning, NoWeight, place, "service %q gets no new flows of route %q with weight %d", t.Service, r.Name, t.Weight)
		}
	}
}

// checkLimits warns about limits of a route that contradict each other.
func (c *checker) checkLimits(path string, r steer.Route) {
	if r.Goal < 0 {
		c.add(Warning, Contradiction, path+".Goal", "the goal of route %q is negative and counts as not set", r.Name)
	}
	if r.TimeLimit < 0 {
		c.add(Warning, Contradiction, path+".TimeLimit", "the time limit of route %q is negative and counts as not set", r.Name)
	}
	if r.TimeLimit > 0 && r.Goal > r.TimeLimit {
		c.add(Warning, Contradiction, path+".Goal", "the goal of route %q, %v, is longer than its time limit of %v", r.Name, r.Goal, r.TimeLimit)
	}
	if life := c.Bounds.FlowLife; life > 0 && r.TimeLimit > life {
		c.add(Warning, Contradiction, path+".TimeLimit", "the time limit of route %q, %v, is longer than the longest life of a flow, %v", r.Name, r.TimeLimit, life)
	}
	if r.Priority < 0 {
		c.add(Warning, Contradiction, path+".Priority", "the priority of route %q is negative and counts as 0", r.Name)
	}
}

// checkBounds warns about cold rates and bounds that cannot be kept.
func (c *checker) checkBounds() {
	for i, s := range c.Config.Services {
		path := fmt.Sprintf("Services[%d].ColdRate", i)
		switch {
		case s.ColdRate < 0:
			c.add(Warning, Contradiction, path, "the cold rate of service %q is negative and counts as not set", s.Name)
		case s.ColdRate > 0 && s.ColdRate < 1:
			c.add(Warning, Contradiction, path, "the cold rate %v of service %q counts as 1", s.ColdRate, s.Name)
		}
	}
	b := c.Bounds
	for _, row := range []struct {
		name         string
		bound, least clock.Millis
	}{
		{"EvacuateMs", b.Evacuate, b.StorePace},
		{"DrainMs", b.Drain, b.StorePace + steer.EntryReturnTime}, // the entry may have expired in an outage of the store
		{"ConfigMs", b.Config, b.StorePace},
	} {
		if row.bound > 0 && row.bound < row.least {
			c.add(Warning, Contradiction, "", "%s in the settings is %v, but a balancer may need %v to act on a change in the store", row.name, row.bound, row.least)
		}
	}
}
