package steer

import (
	"net/netip"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
)

// ServerState says what a balancer may do with a server.
type ServerState uint8

// States of a server.
const (
	Serving ServerState = iota // takes new flows
	Leaving                    // drains: keeps its flows, takes no new ones
	Missing                    // no longer listed; it may still hold flows
)

// Server is one run of a backend server, as it published itself.
type Server struct {
	Name       string
	Agent      place.ID // address of the agent on the server's host
	Service    string
	DataCentre string
	Slots      int // requests it runs at once
	State      ServerState
	ColdUntil  clock.Millis // 0 if it was warm
	Born       int64        // tells one run of a name from the next
	Revision   uint64       // of its entry
	Created    uint64       // revision at which its name was first listed

	known   clock.Millis // when this process first knew of this run
	listed  bool         // in the first listing after this process started
	missing clock.Millis // when its entry went, 0 while it is listed
	gone    bool         // it has been missing for long enough to be taken as gone
}

// Target is a service that a route sends a share of its new flows to.
type Target struct {
	Service string
	Weight  int

	// until is set for a service that an earlier configuration sent flows to: it
	// gets no new ones, but may hold some until then.
	until clock.Millis
}

// Route says where the flows to one address and port go.
type Route struct {
	Name     string
	Address  netip.AddrPort
	Targets  []Target
	Goal     clock.Millis // response-time goal of its requests
	Priority int          // of its requests, 0 is the most urgent
}

// Service is what the configuration says of the servers of one name.
type Service struct {
	Name     string
	ColdRate float64 // requests a second that a cold server bears, 0 if not said
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
}

// Change is one difference that the platform reports. Server, Removed, Config or
// Centre is set.
type Change struct {
	Server   *Server // listed or rewritten
	Removed  string  // name of a server that is no longer listed
	Config   *Config
	Centre   string // data centre whose state changed
	TakenOut bool   // of Centre
	Revision uint64 // at which Centre was taken out
}

// Times that the registry waits.
const (
	// settle is how long the agent of a new server is known before it gets new
	// flows, so that every balancer asks it for flows before the first one opens
	// there: balancers gather changes for up to 700 ms, and calls take time.
	settle = 1200 * clock.Millis(1)
	// entriesBack is how long entries that lapsed during an outage of the
	// platform may take to return: about two seconds. An outage need not show, so
	// every server whose entry goes without draining is believed for that long;
	// its agent knows better if it has ended.
	entriesBack = 2100 * clock.Millis(1)
	// recheck is the time between two looks at what could not be concluded.
	recheck = 100 * clock.Millis(1)
)

// Registry holds what a balancer believes of routes, servers and data centres.
// It is not safe for concurrent use. The zero value knows nothing.
type Registry struct {
	// FlowLife is the longest life of a flow, and so how long a server without an
	// entry is still asked for its flows. 0 means DefaultFlowLife.
	FlowLife clock.Millis

	config  *Config
	servers map[string]*Server
	out     map[string]outage // data centres that have been taken out
	asked   clock.Millis      // when the last word of the platform was asked for: what it says is not older
	lost    bool              // the platform does not answer
	back    clock.Millis      // when it last answered again
	listed  bool
	view    *View
}

// outage is a data centre that has been taken out.
type outage struct {
	since    clock.Millis // when this process found it so
	revision uint64       // at which it was taken out
}

// Heard notes an answer of the platform to a question that was asked at an
// earlier time. It reports whether the platform had been lost.
func (r *Registry) Heard(now, asked clock.Millis) bool {
	if _, doubtful := r.Doubtful(now); doubtful {
		r.view = nil // the word may tell
	}
	r.asked = asked
	if !r.lost {
		return false
	}
	r.lost, r.back, r.view = false, now, nil
	return true
}

// Lost notes that the platform does not answer. It reports whether that is new.
func (r *Registry) Lost() bool {
	if r.lost {
		return false
	}
	r.lost, r.view = true, nil
	return true
}

// Replace takes a whole listing. Servers that it does not name are removed.
func (r *Registry) Replace(now clock.Millis, listing []Change) []Note {
	var notes []Note
	named, out := make(map[string]bool), make(map[string]bool)
	for _, c := range listing {
		if c.Server != nil {
			named[c.Server.Name] = true
		}
		out[c.Centre] = out[c.Centre] || c.TakenOut
	}
	for name, s := range r.servers {
		if !named[name] && s.missing == 0 {
			notes = append(notes, r.remove(now, name)...)
		}
	}
	for name := range r.out {
		if !out[name] {
			notes = append(notes, r.centre(now, Change{Centre: name})...)
		}
	}
	notes = append(notes, r.Apply(now, listing)...)
	r.listed = true
	return notes
}

// Apply takes changes in the order in which they were made.
func (r *Registry) Apply(now clock.Millis, changes []Change) []Note {
	if r.servers == nil {
		r.servers, r.out = make(map[string]*Server), make(map[string]outage)
	}
	var notes []Note
	for _, c := range changes {
		switch {
		case c.Server != nil:
			notes = append(notes, r.server(now, *c.Server)...)
		case c.Removed != "":
			notes = append(notes, r.remove(now, c.Removed)...)
		case c.Config != nil:
			notes = append(notes, r.reconfigure(now, *c.Config)...)
		case c.Centre != "":
			notes = append(notes, r.centre(now, c)...)
		}
	}
	if len(notes) > 0 {
		r.view = nil
	}
	return notes
}

func (r *Registry) server(now clock.Millis, s Server) []Note {
	old := r.servers[s.Name]
	if old != nil && s.Revision < old.Revision {
		return nil
	}
	s.known, s.listed = now, !r.listed
	if before := r.sameAgent(s); before != nil {
		s.known, s.listed = before.known, before.listed
	}
	r.servers[s.Name] = &s
	if old != nil && old.sameBelief(s) {
		return nil
	}
	return []Note{{Subject: "server", Name: s.Name, State: s.State.String(), Service: s.Service, DataCentre: s.DataCentre,
		Agent: AddrOf(s.Agent), Version: s.Revision, Cold: max(0, s.ColdUntil-now)}}
}

// sameAgent finds a run of a server that was known earlier behind the same agent
// and for the same service, so that its agent is asked for flows already.
func (r *Registry) sameAgent(s Server) *Server {
	var first *Server
	for _, other := range r.servers {
		if other.Agent == s.Agent && other.Service == s.Service && (first == nil || other.known < first.known) {
			first = other
		}
	}
	return first
}

// sameBelief reports whether a rewritten entry changes no decision.
func (s *Server) sameBelief(other Server) bool {
	return s.missing == 0 && s.Born == other.Born && s.State == other.State && s.Service == other.Service &&
		s.Agent == other.Agent && s.DataCentre == other.DataCentre && s.Slots == other.Slots &&
		(s.ColdUntil > 0) == (other.ColdUntil > 0)
}

// remove takes a server's entry away. The server may live and hold flows, also if
// it drained: entries lapse while the platform is away, which need not show.
func (r *Registry) remove(now clock.Millis, name string) []Note {
	s := r.servers[name]
	if s == nil || s.missing != 0 {
		return nil
	}
	r.view = nil
	note := Note{Subject: "server", Name: name, State: Missing.String(), Service: s.Service, DataCentre: s.DataCentre, Agent: AddrOf(s.Agent), Version: s.Revision}
	gone := *s
	gone.missing = now
	r.servers[name] = &gone
	return []Note{note}
}

func (r *Registry) reconfigure(now clock.Millis, c Config) []Note {
	if r.config != nil && c.Version <= r.config.Version {
		if c.Version == r.config.Version {
			return nil
		}
		return []Note{{Subject: "configuration", State: "stale version ignored", Version: c.Version}}
	}
	if r.config != nil {
		c.Routes = withFormer(now, now+orDefault(r.FlowLife), c.Routes, r.config.Routes)
	}
	r.config = &c
	r.view = nil
	return []Note{{Subject: "configuration", State: "in force", Version: c.Version, Count: len(c.Routes), Services: c.Services}}
}

// withFormer adds to each route the services that the configuration before sent its
// flows to, until the last of these has ended, since open flows stay where they are.
func withFormer(now, until clock.Millis, routes, before []Route) []Route {
	old := make(map[netip.AddrPort][]Target, len(before))
	for _, r := range before {
		old[r.Address] = r.Targets
	}
	out := slices.Clone(routes)
	for i, r := range out {
		for _, t := range old[r.Address] {
			if t.until == 0 {
				t.until = until
			}
			named := slices.ContainsFunc(out[i].Targets, func(other Target) bool { return other.Service == t.Service })
			if !named && now < t.until {
				t.Weight = 0
				out[i].Targets = append(slices.Clip(out[i].Targets), t)
			}
		}
	}
	return out
}

func (r *Registry) centre(now clock.Millis, c Change) []Note {
	if _, was := r.out[c.Centre]; was == c.TakenOut {
		return nil
	}
	r.view = nil
	if !c.TakenOut {
		delete(r.out, c.Centre)
		return []Note{{Subject: "data centre", Name: c.Centre, State: "in"}}
	}
	r.out[c.Centre] = outage{now, c.Revision}
	return []Note{{Subject: "data centre", Name: c.Centre, State: "out", Version: c.Revision}}
}

// Note says what the registry now believes, for the log.
type Note struct {
	Subject    string
	Name       string
	State      string
	Service    string
	DataCentre string
	Agent      netip.Addr
	Version    uint64
	Count      int
	Cold       clock.Millis
	Services   []Service // of a configuration
}

// View returns the present view, which is replaced when something changes or a
// server's time has come. It is nil before the first configuration.
func (r *Registry) View(now clock.Millis) *View {
	if r.config == nil {
		return nil
	}
	if r.view == nil || now >= r.view.until {
		r.forget(now)
		r.view = newView(now, r)
	}
	return r.view
}

// Fresh reports whether the view can say that nobody holds a flow: a server that
// it does not name yet has not taken flows from any balancer either.
func (r *Registry) Fresh(now clock.Millis) bool {
	return r.listed && now-r.asked < settle
}

func (r *Registry) forget(now clock.Millis) {
	for name, s := range r.servers {
		if s.missing != 0 && now-s.missing >= orDefault(r.FlowLife) {
			delete(r.servers, name)
		}
	}
}

// stateOf is the state of a server now and until when that holds.
func (r *Registry) stateOf(now clock.Millis, s *Server) (ServerState, clock.Millis) {
	if s.missing == 0 {
		if !r.settled(now, s) {
			return s.State, s.known + settle
		}
		return s.State, never
	}
	if s.State == Serving {
		if doubtful, until := r.doubtful(now, s); doubtful {
			return Serving, until
		}
	}
	return Missing, s.missing + orDefault(r.FlowLife)
}

// due is when the entry of a server without one should have returned.
func (r *Registry) due(s *Server) clock.Millis { return max(s.missing, r.back) + entriesBack }

// concluded reports whether the entry of a server has not returned in time. Only a
// word of the platform that was asked for after that time can tell.
func (r *Registry) concluded(s *Server) bool { return !r.lost && r.asked >= r.due(s) }

// undecided reports whether a newer word of the platform can tell if the entry of a
// server has not returned in time.
func (r *Registry) undecided(now clock.Millis, s *Server) bool {
	return s != nil && s.State == Missing && !r.lost && now >= r.due(s) && !r.concluded(s)
}

// doubtful reports whether a server whose entry has gone may still be there, and
// until when that holds.
func (r *Registry) doubtful(now clock.Millis, s *Server) (bool, clock.Millis) {
	switch {
	case s.gone:
		return false, never
	case r.concluded(s):
		s.gone = true
		return false, never
	case now < r.due(s):
		return true, r.due(s)
	}
	return true, now + recheck
}

// Doubtful reports whether the entry of some server that did not drain has gone
// lately, and how long the platform need not be asked until the server is
// concluded to be gone.
func (r *Registry) Doubtful(now clock.Millis) (clock.Millis, bool) {
	wait, found := never, false
	for _, s := range r.servers {
		if s.missing == 0 || s.State != Serving || s.gone || r.concluded(s) {
			continue
		}
		wait, found = min(wait, max(0, r.due(s)-now)), true
	}
	if !found {
		return 0, false
	}
	return wait, true
}

func (r *Registry) settled(now clock.Millis, s *Server) bool {
	return s.listed || now-s.known >= settle
}
