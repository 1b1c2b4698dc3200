package steer

import (
	"net/netip"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// ServerState says which packets a server may receive.
type ServerState uint8

// States of a server. A trailing comment is the text that String returns.
const (
	// The server takes new flows.
	Serving ServerState = iota // Serving
	// The server drains: it keeps its flows and takes no new ones.
	Leaving // Leaving
	// The server's entry is no longer listed. The server may still hold flows.
	Unlisted // Missing
)

// Server is one run of a backend server, as its entry in the platform describes it.
type Server struct {
	Name            string
	Agent           place.ID // address of the agent on the server's host
	Service         string
	DataCentre      string
	Slots           int // requests it can run at once
	State           ServerState
	ColdUntil       clock.Millis // end of its limit on new flows, 0 if it is warm
	StartMs         int64        // start of this run, Unix milliseconds
	Revision        uint64       // of its entry, by RevisionOf
	CreatedRevision uint64       // revision at which its name was first listed

	firstSeen     clock.Millis // receipt of the first entry, of any run, with this agent and service
	initial       bool         // that entry was in the first listing after this process started
	unlistedSince clock.Millis // when its entry was removed, 0 while it is listed
	returnExpired bool         // its entry did not return in time
	hasDrained    bool         // an entry of this run said that it drains
	// mayHaveReturned is set if expired entries could still return when the server was first
	// seen: CreatedRevision may then be later than flows of the server.
	mayHaveReturned bool
}

// Target is a service that receives a share of a route's new flows.
type Target struct {
	Service string
	Weight  int // share relative to the other targets of the route

	// formerUntil is set for a service that only an earlier configuration named: it
	// receives no new flows, but may hold some until then.
	formerUntil clock.Millis
}

// Route names the services that serve the flows to one address and port.
type Route struct {
	Name    string
	Address netip.AddrPort
	Targets []Target
	Goal    clock.Millis // response-time goal of its requests
	// TimeLimit is how long callers wait for an answer, 0 if not known.
	TimeLimit clock.Millis
	Priority  int // of its requests, 0 is the most urgent
	// Repeatable says whether callers may repeat its requests, even ones that may
	// have run.
	Repeatable bool
}

// Service holds the settings of one service's servers.
type Service struct {
	Name     string
	ColdRate float64 // requests, and so new flows, a second that a cold server can take; 0 if not set
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
}

// Change is one change that the platform reports. Exactly one of Server, Removed,
// Config and DataCentreName is set.
type Change struct {
	Server         *Server // entry that was added or rewritten
	Removed        string  // name of a server that is no longer listed
	Config         *Config
	DataCentreName string // data centre whose state changed
	OutOfService   bool   // whether that data centre is now out of service
	Revision       uint64 // of the change of Config or of the data centre, by RevisionOf
}

// Times that the registry waits.
const (
	// settleTime is how long a new server must be listed before it receives new
	// flows. By then every balancer includes its agent in searches for flows:
	// balancers batch changes for up to 700 ms, and calls take time.
	settleTime = 1200 * clock.Millis(1)
	// EntryReturnTime is how long entries that expired during an outage of the
	// platform may take to return: about two seconds. A balancer may not notice the
	// outage, so every server whose entry is removed without draining is assumed to
	// run for that long. If it has ended, its agent denies the packets.
	EntryReturnTime = 2100 * clock.Millis(1)
	// recheckInterval is the time between two checks of a server whose entry is
	// overdue, while the platform's data are too old to confirm that.
	recheckInterval = 100 * clock.Millis(1)
)

// Registry holds a balancer's record of routes, servers and data centres. It is not
// safe for concurrent use. The zero value is empty.
type Registry struct {
	// FlowLife is the longest life of a flow, and so how long an unlisted server may
	// still hold flows. 0 means DefaultFlowLife.
	FlowLife clock.Millis
	Disabled MechanismSet
	// DataCentre is the balancer's own data centre, whose servers its callers' flows
	// prefer. Empty means none.
	DataCentre string

	config    *Config
	servers   map[string]*Server    // by name
	evacuated map[string]evacuation // data centres out of service, by name
	// dataAsOf is the send time of the last request that the platform answered: the
	// answer reflects the state at that time or later.
	dataAsOf     clock.Millis
	revision     uint64       // of the platform's store, by RevisionOf, whose state the view has
	newestEntry  uint64       // highest revision of a server's entry, which a page may have from later
	platformLost bool         // the platform does not answer
	platformBack clock.Millis // end of the platform's last outage
	hasListing   bool         // a whole listing has been received
	// firstAfterOutage is set if the first listing of this process followed an outage of the
	// platform: entries that expired meanwhile were never known here.
	firstAfterOutage bool
	firstListed      clock.Millis // time of the first listing
	// restoreHeldUntil is the end of the time in which a restored store may lack what
	// was written before, 0 if it was never restored.
	restoreHeldUntil clock.Millis
	held             []Change // of a restored store, applied then unless replaced
	view             *View    // cached, nil if it must be rebuilt
}

// evacuation is the state of a data centre that has been taken out of service.
type evacuation struct {
	since    clock.Millis // when this process received the change
	revision uint64       // of the change that took it out of service
}

// RecordPlatformAnswer records an answer of the platform to a request that was sent at the time
// asked. It reports whether this ends an outage of the platform.
func (r *Registry) RecordPlatformAnswer(now, asked clock.Millis) bool {
	if _, pending := r.AwaitingReturn(now); pending {
		r.view = nil // the answer may settle whether the entry returned in time
	}
	r.dataAsOf = asked
	if !r.platformLost {
		return false
	}
	r.platformLost, r.platformBack, r.view = false, now, nil
	return true
}

// RecordRevision records the revision of the platform's store, by RevisionOf, that the
// changes applied so far lead to.
func (r *Registry) RecordRevision(revision uint64) { r.revision = max(r.revision, revision) }

// RecordOutage records that the platform does not answer. It reports whether an outage
// begins.
func (r *Registry) RecordOutage() bool {
	if r.platformLost {
		return false
	}
	r.platformLost, r.view = true, nil
	return true
}

// ApplyListing applies a whole listing. Servers that it does not name become unlisted, and
// data centres that it does not name are back in service.
func (r *Registry) ApplyListing(now clock.Millis, listing []Change) []Event {
	var events []Event
	listed, takenOut := make(map[string]bool), make(map[string]bool)
	restoring := r.restoring(now)
	applied := listing
	if restoring {
		applied = r.hold(listing)
	}
	for _, c := range listing {
		if c.Server != nil {
			listed[c.Server.Name] = true
		}
		takenOut[c.DataCentreName] = takenOut[c.DataCentreName] || c.OutOfService
	}
	for name, s := range r.servers {
		if !listed[name] && s.unlistedSince == 0 {
			events = append(events, r.unlistServer(now, name)...)
		}
	}
	for name := range r.evacuated {
		back := Change{DataCentreName: name}
		switch {
		case takenOut[name]:
		case restoring:
			r.held = append(r.held, back)
		default:
			events = append(events, r.setDataCentre(now, back)...)
		}
	}
	events = append(events, r.Apply(now, applied)...)
	if !r.hasListing {
		r.hasListing, r.firstAfterOutage, r.firstListed = true, r.platformBack != 0, now
	}
	return events
}

// Apply applies changes in the order in which they were made. It returns events for the
// log on those that change decisions, and on configurations that are out of date.
func (r *Registry) Apply(now clock.Millis, changes []Change) []Event {
	if r.servers == nil {
		r.servers, r.evacuated = make(map[string]*Server), make(map[string]evacuation)
	}
	var events []Event
	for _, c := range changes {
		r.discardHeld(c)
		switch {
		case c.Server != nil:
			r.newestEntry = max(r.newestEntry, c.Server.Revision)
			events = append(events, r.setServer(now, *c.Server)...)
		case c.Removed != "":
			events = append(events, r.unlistServer(now, c.Removed)...)
		case c.Config != nil:
			events = append(events, r.setConfig(now, *c.Config)...)
		case c.DataCentreName != "":
			events = append(events, r.setDataCentre(now, c)...)
		}
	}
	if len(events) > 0 {
		r.view = nil
	}
	return events
}

// setServer adds or updates a server. It ignores an entry older than the recorded one.
func (r *Registry) setServer(now clock.Millis, s Server) []Event {
	old := r.servers[s.Name]
	if old != nil && s.Revision < old.Revision {
		return nil
	}
	s.firstSeen, s.initial = now, !r.hasListing
	if earlier := r.earliestRun(s); earlier != nil {
		s.firstSeen, s.initial = earlier.firstSeen, earlier.initial
	}
	s.mayHaveReturned = r.entriesMayReturn(now)
	if old != nil && old.StartMs == s.StartMs {
		s.CreatedRevision = old.CreatedRevision // a restored store gives out others
		s.hasDrained, s.mayHaveReturned = old.hasDrained, old.mayHaveReturned
	}
	s.hasDrained = s.hasDrained || s.State == Leaving
	r.servers[s.Name] = &s
	if old != nil && old.equivalent(s) {
		return nil
	}
	return []Event{{Subject: "server", Name: s.Name, State: s.State.String(), Service: s.Service, DataCentre: s.DataCentre,
		Agent: AddrOf(s.Agent), Version: s.Revision, ColdLeft: max(0, s.ColdUntil-now)}}
}

// earliestRun returns the first seen run of a server with the same agent and service,
// or nil. Balancers then already include the agent in searches for flows, and a new
// run need not wait for settleTime.
func (r *Registry) earliestRun(s Server) *Server {
	var first *Server
	for _, other := range r.servers {
		if other.Agent == s.Agent && other.Service == s.Service && (first == nil || other.firstSeen < first.firstSeen) {
			first = other
		}
	}
	return first
}

// equivalent reports whether a rewritten entry changes no decision.
func (s *Server) equivalent(other Server) bool {
	return s.unlistedSince == 0 && s.StartMs == other.StartMs && s.State == other.State && s.Service == other.Service &&
		s.Agent == other.Agent && s.DataCentre == other.DataCentre && s.Slots == other.Slots &&
		(s.ColdUntil > 0) == (other.ColdUntil > 0)
}

// unlistServer marks a server as unlisted. The server may still run and hold flows,
// even if it was draining: entries expire during an outage of the platform, which the
// balancer may not notice.
func (r *Registry) unlistServer(now clock.Millis, name string) []Event {
	s := r.servers[name]
	if s == nil || s.unlistedSince != 0 {
		return nil
	}
	r.view = nil
	event := Event{Subject: "server", Name: name, State: Unlisted.String(), Service: s.Service, DataCentre: s.DataCentre, Agent: AddrOf(s.Agent), Version: s.Revision}
	unlisted := *s
	unlisted.unlistedSince = now
	r.servers[name] = &unlisted
	return []Event{event}
}

// setConfig puts a configuration in force unless it is older than the present one.
func (r *Registry) setConfig(now clock.Millis, c Config) []Event {
	if r.config != nil && c.Version <= r.config.Version {
		if c.Version == r.config.Version {
			return nil
		}
		return []Event{{Subject: "configuration", State: "stale version ignored", Version: c.Version}}
	}
	if r.config != nil {
		c.Routes = withFormerTargets(now, now+flowLifeOrDefault(r.FlowLife), c.Routes, r.config.Routes)
	}
	r.config = &c
	r.view = nil
	return []Event{{Subject: "configuration", State: "in force", Version: c.Version, RouteCount: len(c.Routes), Services: c.Services}}
}

// withFormerTargets adds to each route the services that the previous configuration
// sent its flows to, until the last of these flows has ended: open flows are not moved.
func withFormerTargets(now, until clock.Millis, routes, before []Route) []Route {
	old := make(map[netip.AddrPort][]Target, len(before))
	for _, r := range before {
		old[r.Address] = r.Targets
	}
	out := slices.Clone(routes)
	for i, r := range out {
		for _, t := range old[r.Address] {
			if t.formerUntil == 0 {
				t.formerUntil = until
			}
			named := slices.ContainsFunc(out[i].Targets, func(other Target) bool { return other.Service == t.Service })
			if !named && now < t.formerUntil {
				t.Weight = 0
				out[i].Targets = append(slices.Clip(out[i].Targets), t)
			}
		}
	}
	return out
}

// setDataCentre takes a data centre out of service or back into service. A process that was
// cut off may learn of a later evacuation only, and not that the one that it knows has ended.
func (r *Registry) setDataCentre(now clock.Millis, c Change) []Event {
	before, wasOut := r.evacuated[c.DataCentreName]
	again := wasOut && eraOf(c.Revision) == eraOf(before.revision) && c.Revision > before.revision
	if wasOut == c.OutOfService && !again {
		return nil
	}
	r.view = nil
	if !c.OutOfService {
		delete(r.evacuated, c.DataCentreName)
		return []Event{{Subject: "data centre", Name: c.DataCentreName, State: "in"}}
	}
	r.evacuated[c.DataCentreName] = evacuation{now, c.Revision}
	return []Event{{Subject: "data centre", Name: c.DataCentreName, State: "out", Version: c.Revision}}
}

// Event describes a change of the registry for the log. Subject is "server",
// "configuration" or "data centre"; fields that do not apply are zero.
type Event struct {
	Subject    string
	Name       string
	State      string
	Service    string
	DataCentre string
	Agent      netip.Addr
	Version    uint64       // of a configuration; otherwise the revision of the entry or change
	RouteCount int          // routes of a configuration
	ColdLeft   clock.Millis // how much longer a server stays cold
	Services   []Service    // of a configuration
}

// View returns the current view. It is rebuilt after a change, and when the state of a
// server changes with time. It is nil before the first configuration.
func (r *Registry) View(now clock.Millis) *View {
	if r.config == nil {
		return nil
	}
	if r.view == nil || now >= r.view.validUntil {
		r.deleteExpired(now)
		r.view = newView(now, r)
	}
	return r.view
}

// Fresh reports whether the view is recent enough to conclude that no server holds a
// flow: it is younger than settleTime, so a server that it lacks has received flows only
// from balancers that began with a later listing. A store that was just restored may lack
// others.
func (r *Registry) Fresh(now clock.Millis) bool {
	return r.hasListing && now-r.dataAsOf < settleTime && !r.restoring(now)
}

// deleteExpired deletes servers that have been unlisted for the longest life of a flow.
func (r *Registry) deleteExpired(now clock.Millis) {
	for name, s := range r.servers {
		if s.unlistedSince != 0 && now-s.unlistedSince >= flowLifeOrDefault(r.FlowLife) {
			delete(r.servers, name)
		}
	}
}

// stateOf returns the state of a server and the time until which it is valid.
func (r *Registry) stateOf(now clock.Millis, s *Server) (ServerState, clock.Millis) {
	if s.unlistedSince == 0 {
		if !r.settled(now, s) {
			return s.State, s.firstSeen + settleTime
		}
		return s.State, never
	}
	if s.State == Serving {
		if pending, until := r.returnPending(now, s); pending {
			return Serving, until
		}
	}
	return Unlisted, s.unlistedSince + flowLifeOrDefault(r.FlowLife)
}

// returnDeadline is the time by which the entry of an unlisted server should have
// returned.
func (r *Registry) returnDeadline(s *Server) clock.Millis {
	return max(s.unlistedSince, r.platformBack) + EntryReturnTime
}

// returnTimedOut reports whether the entry of an unlisted server did not return in
// time. Only an answer to a request sent after the deadline confirms that.
func (r *Registry) returnTimedOut(s *Server) bool {
	return !r.platformLost && r.dataAsOf >= r.returnDeadline(s)
}

// returnUndecided reports whether the deadline of an unlisted server has passed, but a
// newer answer of the platform is needed to confirm that its entry did not return.
func (r *Registry) returnUndecided(now clock.Millis, s *Server) bool {
	return s != nil && s.State == Unlisted && !r.platformLost && now >= r.returnDeadline(s) && !r.returnTimedOut(s)
}

// returnPending reports whether the entry of an unlisted server may still return, and
// until when the result is valid. Until then a server that was not draining still
// counts as Serving.
func (r *Registry) returnPending(now clock.Millis, s *Server) (bool, clock.Millis) {
	switch {
	case s.returnExpired, r.Disabled.Has(AwaitEntry):
		return false, never
	case r.returnTimedOut(s):
		s.returnExpired = true
		return false, never
	case now < r.returnDeadline(s):
		return true, r.returnDeadline(s)
	}
	return true, now + recheckInterval
}

// MayLackServers reports whether running servers may be unknown: the first listing followed
// an outage of the platform, and entries that expired in it may still return.
func (r *Registry) MayLackServers(now clock.Millis) bool {
	return r.firstAfterOutage && now < r.platformBack+EntryReturnTime && !r.Disabled.Has(AwaitEntry)
}

// JustListed reports whether entries that expired before the first listing of this process may
// still return: it may have begun just after an outage of the platform or a restore of its
// store, which nothing in the listing shows.
func (r *Registry) JustListed(now clock.Millis) bool {
	return now < r.firstListed+EntryReturnTime && !r.Disabled.Has(AwaitEntry)
}

// entriesMayReturn reports whether an entry that is new to this process may be one that had
// expired before: in its first listing or just after it, and until just after an outage or a
// restore that it has seen.
func (r *Registry) entriesMayReturn(now clock.Millis) bool {
	return !r.hasListing || r.JustListed(now) || r.platformLost || now < r.platformBack+EntryReturnTime || r.restoring(now)
}

// AwaitingReturn reports whether the entry of a server that was not draining may still
// return, and how long the next request to the platform can wait: an answer to an
// earlier one could not confirm that the entry did not return.
func (r *Registry) AwaitingReturn(now clock.Millis) (clock.Millis, bool) {
	wait, pending := never, false
	for _, s := range r.servers {
		if s.unlistedSince == 0 || s.State != Serving || s.returnExpired || r.returnTimedOut(s) {
			continue
		}
		wait, pending = min(wait, max(0, r.returnDeadline(s)-now)), true
	}
	if !pending {
		return 0, false
	}
	return wait, true
}

// settled reports whether a server has been listed for long enough to receive new
// flows. Servers of the first listing count as settled.
func (r *Registry) settled(now clock.Millis, s *Server) bool {
	return s.initial || now-s.firstSeen >= settleTime || r.Disabled.Has(Settle)
}
