package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/place"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func members(n int) []place.Member {
	out := make([]place.Member, n)
	for i := range out {
		out[i] = place.Member{ID: place.IDOf(fmt.Sprintf("server-%d", i)), Weight: 100}
	}
	return out
}

func rankAll(t place.Table, key uint64) []place.ID {
	into := make([]place.ID, min(t.Len(), 64))
	return into[:t.Rank(key, into)]
}

func without(ids []place.ID, removed place.ID) []place.ID {
	var out []place.ID
	for _, id := range ids {
		if id != removed {
			out = append(out, id)
		}
	}
	return out
}

func TestRemovingMemberKeepsOrderOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(2, 40).Draw(t, "members"))
		for i := range all {
			all[i].Weight = rapid.SampledFrom([]int{50, 100, 100, 300}).Draw(t, "weight")
		}
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		key := rapid.Uint64().Draw(t, "key")
		before := rankAll(place.New(all), key)
		remaining := append(append([]place.Member(nil), all[:removed]...), all[removed+1:]...)
		after := rankAll(place.New(remaining), key)
		assert.DeepEqual(t, without(before, all[removed].ID), after)
	})
}

func TestKeysAreDistributedByWeight(t *testing.T) {
	for _, tt := range []struct {
		name    string
		weights []int
	}{
		{"equal", []int{100, 100, 100, 100, 100, 100, 100}},
		{"double", []int{100, 200, 100}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			all := members(len(tt.weights))
			total := 0
			for i, w := range tt.weights {
				all[i].Weight = w
				total += w
			}
			table := place.New(all)
			counts := map[place.ID]int{}
			random := rand.New(rand.NewPCG(1, 2))
			const flows = 100_000
			for range flows {
				counts[rankAll(table, random.Uint64())[0]]++
			}
			for i, w := range tt.weights {
				share := float64(counts[all[i].ID]) / flows * float64(total) / float64(w)
				assert.Assert(t, share > 0.95 && share < 1.05, "server %d has %.3f of its share", i, share)
			}
		})
	}
}

func ExampleTable_Rank() {
	table := place.New([]place.Member{{ID: place.IDOf("a")}, {ID: place.IDOf("b")}, {ID: place.IDOf("c")}})
	best := make([]place.ID, 2)
	fmt.Println(table.Rank(42, best), best[0] != best[1])
	// Output: 2 true
}
