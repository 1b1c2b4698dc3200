package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/member"
	"dogwoodlanding.example/dogwood/pkg/place"
	"gotest.tools/v3/assert"
)

// peers returns processes spread over three data centres of one region.
func peers(count int) []member.Peer {
	var out []member.Peer
	for i := range count {
		out = append(out, member.Peer{ID: place.ID(i + 1), DataCentre: fmt.Sprint(i % 3)})
	}
	return out
}

func newTable(self place.ID, all []member.Peer) *member.Table {
	t := &member.Table{Self: self, Instance: 1, Random: rand.New(rand.NewPCG(1, uint64(self)))}
	t.SetPeers(0, all)
	return t
}

func TestWatchersAreInDifferentDataCentres(t *testing.T) {
	all := peers(12)
	table := newTable(1, all)
	for _, peer := range all {
		dataCentres := make(map[string]bool)
		for _, watcher := range table.Watchers(peer.ID) {
			assert.Assert(t, watcher != peer.ID)
			dataCentres[all[watcher-1].DataCentre] = true
		}
		assert.Equal(t, len(dataCentres), 3)
	}
}

func TestLeaseExpiresBeforeSilenceVote(t *testing.T) {
	all := peers(6)
	table := newTable(1, all)
	for _, watcher := range table.Watchers(1) {
		table.HandleAck(1, watcher, member.Ack{Sent: 1, Time: 1})
	}
	assert.Assert(t, table.Leased(member.DefaultLease))
	assert.Assert(t, !table.Leased(member.DefaultLease+1))

	watcher := newTable(table.Watchers(1)[0], all)
	for now := clock.Millis(0); now <= member.DefaultLease; now += 100 {
		watcher.Tick(now)
	}
	assert.Assert(t, watcher.Alive(1))
}

func TestOnlyWatcherMajorityDeclaresProcessDown(t *testing.T) {
	all := peers(6)
	table := newTable(2, all)
	for i, watcher := range table.Watchers(1) {
		assert.Assert(t, table.Alive(1) == (i < 2))
		vote := member.Vote{Watcher: watcher, Subject: 1, WatcherInstance: 1, Sequence: 1, Silent: true}
		table.HandleGossip(watcher, member.Gossip{Votes: []member.Vote{vote}, NoReply: true})
	}
	assert.Assert(t, !table.Alive(1))
	table.HandleGossip(1, member.Gossip{Records: []member.StateRecord{{ID: 1, Instance: 2}}, NoReply: true})
	assert.Assert(t, table.Alive(1), "a new instance is alive until it is voted silent")
}

func ExampleTable() {
	table := newTable(1, peers(6))
	for _, watcher := range table.Watchers(1) {
		table.HandleAck(5, watcher, member.Ack{Sent: 1, Time: 3})
	}
	fmt.Println(table.Leased(10), table.ClockSkew())
	// Output: true 0ms
}
