package steer

import (
	"maps"
	"net/netip"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"github.com/cespare/xxhash/v2"
)

// View is what a balancer decides by. It is immutable.
type View struct {
	Version uint64 // of the configuration

	routes   map[netip.AddrPort]*Route
	services map[string]*pool
	agents   map[place.ID]*Server
	out      map[string]outage
	until    clock.Millis // when the passing of time changes it
}

// pool is the servers of one service.
type pool struct {
	id       ServiceID
	coldRate float64
	open     place.Table // agents whose servers may take new flows
	holders  place.Table // agents whose servers may hold flows
}

// never is an instant after all others.
const never = clock.Millis(1) << 60

func newView(now clock.Millis, r *Registry) *View {
	v := &View{
		Version: r.config.Version, until: never, out: maps.Clone(r.out),
		routes: make(map[netip.AddrPort]*Route, len(r.config.Routes)), services: make(map[string]*pool),
		agents: make(map[place.ID]*Server),
	}
	for i := range r.config.Routes {
		route := &r.config.Routes[i]
		v.routes[route.Address] = route
		for _, t := range route.Targets {
			v.services[t.Service] = nil
		}
	}
	open, holders := make(map[string][]place.Member), make(map[string][]place.Member)
	servers := sorted(r.servers)
	for _, s := range servers {
		add(holders, s)
		if kept := v.agents[s.Agent]; kept == nil || kept.Born <= s.Born {
			v.agents[s.Agent] = s
		}
	}
	for _, s := range servers {
		if v.agents[s.Agent] != s {
			continue // an earlier run behind the same agent
		}
		shown := *s
		var until clock.Millis
		shown.State, until = r.stateOf(now, s)
		v.until = min(v.until, until)
		v.agents[s.Agent] = &shown
		if _, gone := r.out[s.DataCentre]; shown.State == Serving && !gone && r.settled(now, s) {
			add(open, s)
		}
	}
	for name := range v.services {
		v.services[name] = &pool{id: ServiceOf(name), open: place.New(open[name]), holders: place.New(holders[name])}
	}
	for _, s := range r.config.Services {
		if p := v.services[s.Name]; p != nil {
			p.coldRate = s.ColdRate
		}
	}
	return v
}

// add notes the agent of a server once.
func add(members map[string][]place.Member, s *Server) {
	m := place.Member{ID: s.Agent, Weight: s.Slots}
	if !slices.Contains(members[s.Service], m) {
		members[s.Service] = append(members[s.Service], m)
	}
}

// sorted lists servers in the order of their names, so that equal registries
// make equal views.
func sorted(servers map[string]*Server) []*Server {
	out := make([]*Server, 0, len(servers))
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		out = append(out, servers[name])
	}
	return out
}

// Servers is the number of servers of the view.
func (v *View) Servers() int { return len(v.agents) }

// Routes is the number of routes of the view.
func (v *View) Routes() int { return len(v.routes) }

// service names the first service of a route, to count what no server answers.
func (r *Route) service() string {
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// serviceFor chooses the target of a new flow by the flow's hash.
func (r *Route) serviceFor(hash uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return ""
	}
	at := int((xxhash.Sum64String(r.Name)^hash)>>33) % total
	for _, t := range r.Targets {
		at -= max(0, t.Weight)
		if at < 0 {
			return t.Service
		}
	}
	return ""
}

// empty reports whether the server of an agent came after its data centre had
// been taken out, so that no flow can have opened there.
func (v *View) empty(id place.ID) bool {
	s := v.agents[id]
	if s == nil {
		return false
	}
	o, out := v.out[s.DataCentre]
	return out && o.revision != 0 && s.Created > o.revision
}
