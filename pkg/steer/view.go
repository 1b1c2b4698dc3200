package steer

import (
	"maps"
	"net/netip"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/place"
	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of routes, servers and data centres that a balancer
// bases its decisions on.
type View struct {
	Version uint64 // of the configuration

	routes         map[netip.AddrPort]*Route
	services       map[string]*pool
	listedServices []string // of servers, in alphabetical order
	serverByAgent  map[place.ID]*Server
	evacuated      map[string]evacuation // by data centre
	acceptsSince   map[holder]uint64     // revisions, as set by recordAccepting
	passedOver     map[place.ID]bool     // agents that take no new flows yet, or whose data centre is out of service
	// unlistedEvacuated has the agents of unlisted servers in evacuated data centres.
	unlistedEvacuated []place.ID
	validUntil        clock.Millis // the view must be rebuilt then, even without a change
}

// pool holds the servers of one service.
type pool struct {
	id       ServiceID
	coldRate float64 // new flows a second for each cold server, 0 if not set
	// accepting has the agents whose servers may take new flows, including those in
	// View.passedOver.
	accepting place.Table
	holders   place.Table // agents whose servers may hold flows
	// localAccepting and localHolders are the part of them in the balancer's data centre.
	// localAccepting lacks those in View.passedOver, and those listed after one that has
	// not settled (acceptingBeforeUnsettled).
	localAccepting, localHolders place.Table
}

// rank writes the order of a flow into the slice and returns its length: the first of
// local, then the order of all, which all balancers share. One local server is enough:
// a data centre with few servers soon passes flows on to the others.
func rank(all, local place.Table, hash uint64, into []place.ID) int {
	first := local.Rank(hash, into[:1])
	n := first + all.Rank(hash, into[first:])
	if first == 0 {
		return n
	}
	if i := slices.Index(into[1:n], into[0]); i >= 0 {
		copy(into[1+i:n], into[2+i:n])
		n--
	}
	return n
}

// never is later than any instant that occurs.
const never = clock.Millis(1) << 60

// newView builds the view of a registry at the time now.
func newView(now clock.Millis, r *Registry) *View {
	v := &View{
		Version: r.config.Version, validUntil: never, evacuated: maps.Clone(r.evacuated),
		routes: make(map[netip.AddrPort]*Route, len(r.config.Routes)), services: make(map[string]*pool),
		serverByAgent: make(map[place.ID]*Server), acceptsSince: make(map[holder]uint64), passedOver: make(map[place.ID]bool),
	}
	for i := range r.config.Routes {
		route := &r.config.Routes[i]
		v.routes[route.Address] = route
		for _, t := range route.Targets {
			v.services[t.Service] = nil
		}
	}
	named := maps.Clone(v.services) // by the configuration
	for _, s := range r.config.Services {
		named[s.Name] = nil
	}
	v.listedServices = servicesOf(r.servers)
	for _, service := range v.listedServices {
		v.services[service] = nil
	}
	accepting, holders := make(map[string][]place.Member), make(map[string][]place.Member)
	localHolders := make(map[string][]place.Member)
	var localServing []*Server // in service
	local := func(s *Server) bool { return s.DataCentre == r.DataCentre && !r.Disabled.Has(PreferLocal) }
	servers := sortedByName(r.servers)
	for _, s := range servers {
		v.recordAccepting(s)
		addMember(holders, s)
		if local(s) {
			addMember(localHolders, s)
		}
		if other := v.serverByAgent[s.Agent]; other == nil || s.speaksBefore(other, named) {
			v.serverByAgent[s.Agent] = s
		}
	}
	for _, s := range servers {
		if v.serverByAgent[s.Agent] != s {
			continue // an earlier run of the server behind the same agent
		}
		if s.hasDrained { // the entry of an earlier run may still be listed
			delete(v.acceptsSince, holder{s.Agent, s.Service})
		}
		current := *s
		var until clock.Millis
		current.State, until = r.stateOf(now, s)
		v.validUntil = min(v.validUntil, until)
		v.serverByAgent[s.Agent] = &current
		_, outOfService := r.evacuated[s.DataCentre]
		if current.State == Unlisted && outOfService {
			v.unlistedEvacuated = append(v.unlistedEvacuated, s.Agent)
		}
		if current.State != Serving {
			continue
		}
		addMember(accepting, s)
		if outOfService || !r.settled(now, s) {
			v.passedOver[s.Agent] = true
		}
		if local(s) && !outOfService {
			localServing = append(localServing, s)
		}
	}
	localAccepting := v.acceptingBeforeUnsettled(localServing)
	for name := range v.services {
		v.services[name] = &pool{id: ServiceOf(name), accepting: place.New(accepting[name]), holders: place.New(holders[name]),
			localAccepting: place.New(localAccepting[name]), localHolders: place.New(localHolders[name])}
	}
	for _, s := range r.config.Services {
		if p := v.services[s.Name]; p != nil {
			p.coldRate = s.ColdRate
		}
	}
	return v
}

// speaksBefore reports whether an entry, rather than another one with the same agent, tells
// the state of the server there. Entries may come from other writers: one of a service that
// the configuration does not name tells nothing of a server of a named service. Otherwise
// the later run counts, then a listed entry, then of one known run one that drains, then the
// one written later.
func (s *Server) speaksBefore(other *Server, named map[string]*pool) bool {
	_, isNamed := named[s.Service]
	_, otherNamed := named[other.Service]
	switch {
	case isNamed != otherNamed:
		return isNamed
	case s.StartMs != other.StartMs:
		return s.StartMs > other.StartMs
	case (s.unlistedSince == 0) != (other.unlistedSince == 0):
		return s.unlistedSince == 0
	case s.StartMs != 0 && s.hasDrained != other.hasDrained:
		return s.hasDrained
	}
	return s.Revision > other.Revision
}

// addMember adds the agent of a server to its service, unless it is there already.
func addMember(members map[string][]place.Member, s *Server) {
	m := place.Member{ID: s.Agent, Weight: s.Slots}
	if !slices.Contains(members[s.Service], m) {
		members[s.Service] = append(members[s.Service], m)
	}
}

// sortedByName returns the servers in the order of their names, so that equal
// registries produce equal views.
func sortedByName(servers map[string]*Server) []*Server {
	out := make([]*Server, 0, len(servers))
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		out = append(out, servers[name])
	}
	return out
}

// servicesOf returns the services of servers in alphabetical order.
func servicesOf(servers map[string]*Server) []string {
	services := make(map[string]bool)
	for _, s := range servers {
		services[s.Service] = true
	}
	return slices.Sorted(maps.Keys(services))
}

// holderServices returns the services whose servers may hold flows of a route: those of its
// targets, then all others, since the route may have had other targets before the process
// started, or may have them in a later configuration that another balancer has received.
func (v *View) holderServices(route *Route) []string {
	services := make([]string, 0, len(route.Targets)+len(v.listedServices))
	for _, t := range route.Targets {
		services = append(services, t.Service)
	}
	for _, service := range v.listedServices {
		if !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	return services
}

// holderOf returns an agent of a service as a possible holder of a flow. The service is empty,
// which means any, if the agent's latest server belongs to another one: a denial of one
// service would not speak for the other.
func (v *View) holderOf(id place.ID, service string) holder {
	if latest := v.serverByAgent[id]; latest != nil && latest.Service != service {
		service = ""
	}
	return holder{id, service}
}

// Servers returns the number of servers in the view.
func (v *View) Servers() int { return len(v.serverByAgent) }

// Routes returns the number of routes in the view.
func (v *View) Routes() int { return len(v.routes) }

// service returns the name of the route's first service. Packets that no server takes
// are counted under it.
func (r *Route) service() string {
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// serviceFor chooses the service of a new flow by the flow's hash, in proportion to
// the weights of the targets. It returns "" if all weights are 0.
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

// holdsNoFlows reports whether the server of an agent was first listed after its data
// centre had been taken out of service, so that no flow of a route can have opened there. Only
// revisions of one era tell which came first. An entry that has expired and returned has a
// later revision than its server's flows: where that may be so, the server may hold flows
// whose requests would be lost by a reset.
func (v *View) holdsNoFlows(route *Route, id place.ID) bool {
	s := v.serverByAgent[id]
	if s == nil || s.mayHaveReturned && !route.Repeatable {
		return false
	}
	e, evacuated := v.evacuated[s.DataCentre]
	return evacuated && e.revision != 0 && eraOf(s.CreatedRevision) == eraOf(e.revision) && s.CreatedRevision > e.revision
}
