package steer

import (
	"slices"

	"dogwoodlanding.example/dogwood/pkg/place"
)

// A flow opens at one of the first maxOpenOffers servers of its order that do not drain,
// or at the first of the balancer's data centre. So an agent is no holder if enough such
// servers have preceded it all the time since its own server was listed.
// The bounds are larger than the numbers of offers, since a few of these servers may have
// joined unknown to the balancer that opened the flow: entries that expire during an
// outage of the platform return in another order, and a restarted server receives flows
// by its former entry.
const (
	maxAcceptingBefore      = maxOpenOffers + 8
	maxLocalAcceptingBefore = 6 // of the agent's own data centre
)

// holderBound tells which agents cannot hold a flow. Pass it the agents in the flow's
// order. The number that it does not exclude grows with the logarithm of the number of
// servers, if their ages are independent of the order.
type holderBound struct {
	view    *View
	service string
	earlier []uint64            // lowest acceptsSince of the agents so far, sorted
	local   map[string][]uint64 // the same for each data centre
}

// excludes reports whether an agent cannot hold the flow.
func (h *holderBound) excludes(id place.ID) bool {
	server := h.view.serverByAgent[id]
	if server == nil {
		return false
	}
	if h.local == nil {
		h.local = make(map[string][]uint64)
	}
	listed := server.CreatedRevision
	excluded := allBefore(h.earlier, maxAcceptingBefore, listed) && allBefore(h.local[server.DataCentre], maxLocalAcceptingBefore, listed)
	if since, ok := h.view.acceptsSince[holder{id, h.service}]; ok {
		h.earlier = insertLowest(h.earlier, maxAcceptingBefore, since)
		h.local[server.DataCentre] = insertLowest(h.local[server.DataCentre], maxLocalAcceptingBefore, since)
	}
	return excluded
}

// allBefore reports whether a sorted list holds limit revisions before another one.
func allBefore(revisions []uint64, limit int, revision uint64) bool {
	return len(revisions) == limit && revisions[limit-1] < revision
}

// insertLowest inserts a revision into a sorted list of at most limit, and drops the
// highest if there are more.
func insertLowest(revisions []uint64, limit int, revision uint64) []uint64 {
	at, _ := slices.BinarySearch(revisions, revision)
	if at == limit {
		return revisions
	}
	revisions = slices.Insert(revisions, at, revision)
	return revisions[:min(limit, len(revisions))]
}

// recordAccepting records since which revision every balancer has counted the agent of a
// server among the maxOpenOffers of a flow: since then, an entry of it that does not drain
// has been listed.
func (v *View) recordAccepting(s *Server) {
	if s.unlistedSince != 0 || s.hasDrained {
		return
	}
	h := holder{s.Agent, s.Service}
	if since, ok := v.acceptsSince[h]; !ok || s.CreatedRevision < since {
		v.acceptsSince[h] = s.CreatedRevision
	}
}

// acceptingBeforeUnsettled returns, by service, the agents of those servers of a data centre
// that may be the first for new flows there: they have settled, and were listed before each
// one that has not. Searches count a server that has not settled among those before an agent
// that was listed later. Such an agent is a restarted server's, which settles at once, and
// could otherwise be excluded although it took a flow.
func (v *View) acceptingBeforeUnsettled(servers []*Server) map[string][]place.Member {
	unsettled := make(map[string]uint64) // lowest acceptsSince, by service
	for _, s := range servers {
		if since, ok := v.acceptsSince[holder{s.Agent, s.Service}]; ok && v.passedOver[s.Agent] {
			if lowest, ok := unsettled[s.Service]; !ok || since < lowest {
				unsettled[s.Service] = since
			}
		}
	}
	accepting := make(map[string][]place.Member)
	for _, s := range servers {
		lowest, ok := unsettled[s.Service]
		if !v.passedOver[s.Agent] && (!ok || s.CreatedRevision <= lowest) {
			addMember(accepting, s)
		}
	}
	return accepting
}

// holderOrder returns the agents whose servers may hold a flow in its order: the first
// of the own data centre, then the order of all, which all balancers share.
func (p *pool) holderOrder(hash uint64) []place.ID {
	order := p.holders.Order(hash)
	var first [1]place.ID
	if p.localHolders.Rank(hash, first[:]) == 1 {
		at := slices.Index(order, first[0])
		copy(order[1:at+1], order[:at])
		order[0] = first[0]
	}
	return order
}
