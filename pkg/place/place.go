// Package place ranks the backend servers of a service for a flow by weighted
// rendezvous hashing. Processes with the same Table compute the same order. Adding or
// removing a server doesn't change the order of the others.
package place

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a process, either by the hash of its name (IDOf) or by its IPv4 address
// (package steer).
type ID uint64

// IDOf returns the ID of the process with the given name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Member is an entry of a Table.
type Member struct {
	ID     ID
	Weight int // share of the keys relative to other members; less than 1 counts as 1
}

// Table ranks the members of one service for any key. It is immutable; the zero
// value has no members.
type Table struct {
	ids     []ID      // sorted
	weights []float64 // nil when all weights are equal
}

// New returns a table of the members, given in any order.
func New(members []Member) Table {
	sorted := append([]Member(nil), members...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	t := Table{ids: make([]ID, len(sorted))}
	weights := make([]float64, len(sorted))
	equalWeights := true
	for i, m := range sorted {
		t.ids[i] = m.ID
		weights[i] = math.Max(1, float64(m.Weight))
		equalWeights = equalWeights && weights[i] == weights[0]
	}
	if !equalWeights {
		t.weights = weights
	}
	return t
}

// Len returns the number of members.
func (t Table) Len() int { return len(t.ids) }

// IDs returns the sorted IDs of the members. The caller must not modify the slice.
func (t Table) IDs() []ID { return t.ids }

// Contains reports whether the table has a member with this ID.
func (t Table) Contains(id ID) bool {
	_, ok := slices.BinarySearch(t.ids, id)
	return ok
}

// Equal reports whether two tables rank every key the same way.
func (t Table) Equal(other Table) bool {
	return slices.Equal(t.ids, other.ids) && slices.Equal(t.weights, other.weights)
}

// Rank writes the highest-ranked members for a key into the slice, best first, and
// returns their number: at most len(into), and at most 64. It does not allocate.
func (t Table) Rank(key uint64, into []ID) int {
	if len(into) == 0 || len(t.ids) == 0 {
		return 0
	}
	if t.weights == nil {
		return t.rankEqual(key, into)
	}
	return t.rankWeighted(key, into)
}

// maxRanked limits how many members Rank returns, so that their scores fit into an
// array on the stack.
const maxRanked = 64

// rankEqual ranks members of equal weight by their hashes alone.
func (t Table) rankEqual(key uint64, into []ID) int {
	var scores [maxRanked]uint64
	limit := min(len(into), maxRanked)
	count := 0
	for _, id := range t.ids {
		score := hashScore(key, id)
		if count < limit || score > scores[count-1] {
			count = insertRanked(scores[:limit], into, count, score, id)
		}
	}
	return count
}

// rankWeighted ranks members by their weighted scores.
func (t Table) rankWeighted(key uint64, into []ID) int {
	var scores [maxRanked]float64
	limit := min(len(into), maxRanked)
	count := 0
	for i, id := range t.ids {
		score := weightedScore(key, id, t.weights[i])
		if count < limit || score > scores[count-1] {
			count = insertRanked(scores[:limit], into, count, score, id)
		}
	}
	return count
}

// insertRanked inserts a member into the first count entries of scores and into, which
// are sorted by descending score. It drops the lowest entry if scores is full, and
// returns the new count.
func insertRanked[S cmp.Ordered](scores []S, into []ID, count int, score S, id ID) int {
	if count < len(scores) {
		count++
	}
	i := count - 1
	for i > 0 && scores[i-1] < score {
		scores[i], into[i] = scores[i-1], into[i-1]
		i--
	}
	scores[i], into[i] = score, id
	return count
}

// fmix64 is the 64-bit finalizer of MurmurHash3.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Order returns all members for a key, best first, in the order of Rank. It allocates.
func (t Table) Order(key uint64) []ID {
	if t.weights == nil {
		return orderBy(t.ids, func(i int) uint64 { return hashScore(key, t.ids[i]) })
	}
	return orderBy(t.ids, func(i int) float64 { return weightedScore(key, t.ids[i], t.weights[i]) })
}

// orderBy returns the IDs by descending score of their indices.
func orderBy[S cmp.Ordered](ids []ID, score func(int) S) []ID {
	type scored struct {
		id    ID
		score S
	}
	all := make([]scored, len(ids))
	for i, id := range ids {
		all[i] = scored{id, score(i)}
	}
	slices.SortStableFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]ID, len(all))
	for i, s := range all {
		out[i] = s.id
	}
	return out
}

// hashScore scores a member among members of equal weight.
func hashScore(key uint64, id ID) uint64 { return fmix64(key ^ uint64(id)) }

// weightedScore scores a member by weight / -ln(hash), where the hash is scaled to the
// interval (0, 1). Each member then ranks first for a share of the keys that is
// proportional to its weight.
func weightedScore(key uint64, id ID, weight float64) float64 {
	uniform := (float64(hashScore(key, id)>>11) + 0.5) / (1 << 53)
	return weight / -math.Log(uniform)
}
