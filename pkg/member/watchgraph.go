package member

import (
	"cmp"
	"slices"

	"dogwoodlanding.example/dogwood/pkg/place"
)

// watcherCount is the number of processes that watch each process.
const watcherCount = 3

// watchGraph assigns watchers to processes. A process has one watcher in its own data
// centre and, with at least three data centres, two in others, preferably of the same
// region. If a data centre is cut off, a process outside it loses at most one of its
// three watchers and a process inside it loses two.
type watchGraph struct {
	dataCentres  []dataCentre
	dataCentreOf map[place.ID]int // index into dataCentres
}

// dataCentre is a data centre with its processes in the order of their identifiers.
type dataCentre struct {
	name      string
	region    string
	processes []place.ID
	nearest   []int // indices of all data centres, itself first; see nearestTo
}

func newWatchGraph(peers []Peer) watchGraph {
	g := watchGraph{dataCentreOf: make(map[place.ID]int, len(peers))}
	indexOf := make(map[string]int)
	for _, peer := range peers {
		if _, known := indexOf[peer.DataCentre]; !known {
			indexOf[peer.DataCentre] = 0
			g.dataCentres = append(g.dataCentres, dataCentre{name: peer.DataCentre, region: peer.Region})
		}
	}
	slices.SortFunc(g.dataCentres, func(a, b dataCentre) int {
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.name, b.name))
	})
	for i := range g.dataCentres {
		indexOf[g.dataCentres[i].name] = i
	}
	for _, peer := range peers {
		index := indexOf[peer.DataCentre]
		g.dataCentreOf[peer.ID] = index
		g.dataCentres[index].processes = append(g.dataCentres[index].processes, peer.ID)
	}
	for i := range g.dataCentres {
		slices.Sort(g.dataCentres[i].processes)
		g.dataCentres[i].nearest = g.nearestTo(i)
	}
	return g
}

// nearestTo orders the data centres as seen from one of them: itself, the others of
// its region, then the rest. Each group starts after its own index and wraps around,
// so that different data centres prefer different others.
func (g watchGraph) nearestTo(at int) []int {
	count := len(g.dataCentres)
	out := make([]int, 0, count)
	for _, same := range []bool{true, false} {
		for i := range count {
			other := (at + i) % count
			if (g.dataCentres[other].region == g.dataCentres[at].region) == same {
				out = append(out, other)
			}
		}
	}
	return out
}

// watchers returns the watchers of a process: its successor in each of the nearest
// data centres, and further successors there if there are too few data centres.
func (g watchGraph) watchers(id place.ID) []place.ID {
	own, ok := g.dataCentreOf[id]
	if !ok {
		return nil
	}
	out := make([]place.ID, 0, watcherCount)
	for round := 0; len(out) < watcherCount; round++ {
		before := len(out)
		for _, near := range g.dataCentres[own].nearest {
			if next, found := g.dataCentres[near].successor(id, round); found && len(out) < watcherCount {
				out = append(out, next)
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

// successor returns the process offset places beyond the one that follows an
// identifier in the ring of the data centre's processes. It reports false if the ring
// has no more than offset other processes.
func (c dataCentre) successor(id place.ID, offset int) (place.ID, bool) {
	first, contained := slices.BinarySearch(c.processes, id)
	others := len(c.processes)
	if contained {
		first++
		others--
	}
	if offset >= others {
		return 0, false
	}
	return c.processes[(first+offset)%len(c.processes)], true
}

// watchedBy returns the processes that have a given one among their watchers.
func (g watchGraph) watchedBy(id place.ID) []place.ID {
	var out []place.ID
	for _, c := range g.dataCentres {
		for _, other := range c.processes {
			if other != id && slices.Contains(g.watchers(other), id) {
				out = append(out, other)
			}
		}
	}
	return out
}
