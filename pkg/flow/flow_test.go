package flow_test

import (
	"fmt"
	"net/netip"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/flow"
	"dogwoodlanding.example/dogwood/pkg/place"
	"gotest.tools/v3/assert"
)

func keyOf(port uint16) flow.Key {
	source := netip.AddrPortFrom(netip.MustParseAddr("198.51.100.7"), port)
	return flow.NewKey(source, netip.MustParseAddrPort("192.0.2.1:443"), 6)
}

func TestCacheEvictsLeastRecentlyUsedOfFullSet(t *testing.T) {
	cache := flow.NewCache(4)
	for i := range uint64(9) {
		cache.Put(0, i*8, place.ID(i+1)) // all hashes fall into one set of eight entries
		if i == 0 {
			continue
		}
		assert.Equal(t, cache.Get(1000, i*8), place.ID(i+1))
	}
	assert.Equal(t, cache.Get(1000, 0), place.ID(0))
	cache.Delete(8)
	assert.Equal(t, cache.Get(1000, 8), place.ID(0))
}

func TestOwnerDropsPacketsBeforeRebuild(t *testing.T) {
	var o flow.Owner
	assert.Equal(t, o.Decide(0, flow.Packet{Key: keyOf(1), First: true}).Verdict, flow.Drop)
	o.Rebuild(0, nil)
	assert.Equal(t, o.Decide(0, flow.Packet{Key: keyOf(1), First: true}).Verdict, flow.Deliver)
}

func TestPacketIsDroppedIfUnreachableAgentMayHoldFlow(t *testing.T) {
	for _, tt := range []struct {
		name  string
		alive bool
		want  flow.Verdict
	}{
		{"other agent reachable", true, flow.Forward},
		{"other agent unreachable", false, flow.Drop},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := flow.Owner{Self: 1, Alive: func(place.ID) bool { return tt.alive }}
			o.SetTable(0, place.New([]place.Member{{ID: 1}, {ID: 2}}), 0)
			o.Rebuild(0, nil)
			assert.Equal(t, o.Decide(0, flow.Packet{Key: keyOf(1)}).Verdict, tt.want)
		})
	}
}

func ExampleOwner() {
	o := flow.Owner{Self: place.IDOf("desk-1")}
	o.SetTable(0, place.New([]place.Member{{ID: o.Self}}), 0)
	o.Rebuild(0, nil)
	opening := o.Decide(0, flow.Packet{Key: keyOf(4000), First: true})
	unknown := o.Decide(0, flow.Packet{Key: keyOf(4001)})
	fmt.Println(opening.Verdict, o.FlowCount(), unknown.Verdict)
	// Output: Deliver 1 Refuse
}
