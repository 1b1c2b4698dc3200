package spread_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/conf"
	"dogwoodlanding.example/dogwood/pkg/place"
	"dogwoodlanding.example/dogwood/pkg/spread"
	"gotest.tools/v3/assert"
)

func newNode() *spread.Node {
	return &spread.Node{Self: 1, DataCentre: "north", Random: rand.New(rand.NewPCG(1, 1)), Seeds: []place.ID{2}}
}

// addDataCentre returns a change that adds a file with one data centre.
func addDataCentre(from, revision uint64, dataCentre string) spread.Change {
	text := fmt.Sprintf(`{"Owner": "network", "DataCentres": [{"Name": %q}]}`, dataCentre)
	return spread.Change{From: from, Revision: revision, Written: []conf.File{{Name: dataCentre + ".json", Content: []byte(text)}}}
}

func TestLowerPlatformRevisionRaisesAlarm(t *testing.T) {
	n := newNode()
	n.HandlePoll(0, addDataCentre(0, 5, "a"), true)
	n.HandlePoll(1, addDataCentre(0, 4, "b"), true)
	assert.Equal(t, n.Revision(), uint64(5))
	assert.Equal(t, n.Alarms().StaleReads, 1)
}

func TestSinceMergesIntermediateChanges(t *testing.T) {
	n, behind := newNode(), newNode()
	n.HandlePoll(0, addDataCentre(0, 1, "a"), true)
	behind.HandleFetch(0, n.Since(0))
	n.HandlePoll(0, addDataCentre(1, 2, "b"), true)
	n.HandlePoll(0, addDataCentre(2, 3, "c"), true)
	since := n.Since(1)
	assert.Equal(t, len(since.Written), 2)
	behind.HandleFetch(0, since)
	assert.Equal(t, behind.Revision(), uint64(3))
	assert.Equal(t, behind.Set().Hash(), n.Set().Hash())
}

func TestNotReadyUntilHighestSeenRevision(t *testing.T) {
	n := newNode()
	n.Tick(0)
	n.HandlePoll(0, addDataCentre(0, 1, "a"), true)
	n.HandleDigest(0, 2, spread.Digest{Revision: 2, Seen: 2})
	n.HandleDigest(0, 3, spread.Digest{Revision: 2, Seen: 2})
	assert.Assert(t, !n.Ready(clock.Minute))
	n.HandleFetch(0, addDataCentre(1, 2, "b"))
	assert.Assert(t, n.Ready(clock.Minute))
}

func TestHashMismatchIsConflict(t *testing.T) {
	n := newNode()
	c := addDataCentre(0, 1, "a")
	c.Hash = "not the hash"
	n.HandleFetch(0, c)
	assert.Equal(t, n.Revision(), uint64(0))
	assert.Equal(t, n.Alarms().Conflicts, 1)
}

func ExampleNode() {
	n := newNode()
	for _, action := range n.HandlePoll(0, addDataCentre(0, 1, "a"), true) {
		if action.Activate != nil {
			fmt.Println(action.Activate.Record.Revision, action.Activate.Record.Files, action.Activate.Record.Owners)
		}
	}
	// Output: 1 [a.json] [network]
}
