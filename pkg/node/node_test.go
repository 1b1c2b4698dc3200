package node_test

import (
	"fmt"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/packet"
	"gotest.tools/v3/assert"
)

// A balancer that was suspended for longer than a lease has a stale view and must not
// place new flows by it. Packets of established flows are still forwarded.
func TestSuspendedBalancerDropsFirstPackets(t *testing.T) {
	b := readyBalancer(3)
	resumed := now + 3500 + clock.Minute
	_, ok := b.Route(resumed, &packet.Info{Key: flowKey(1), OpensConnection: true})
	assert.Assert(t, !ok)
	_, ok = b.Route(resumed, &packet.Info{Key: flowKey(1)})
	assert.Assert(t, ok)
}

func TestPacketToNoServiceIsDropped(t *testing.T) {
	b := readyBalancer(3)
	stray := flowKey(1)
	stray.TargetPort = 80
	_, ok := b.Route(now+3500, &packet.Info{Key: stray})
	assert.Assert(t, !ok)
	assert.Equal(t, b.Counts().NoService, uint64(1))
}

func ExampleBalancer() {
	b := readyBalancer(3)
	first, _ := b.Route(now+3500, &packet.Info{Key: flowKey(1), OpensConnection: true})
	again, _ := b.Route(now+3500, &packet.Info{Key: flowKey(1), OpensConnection: true})
	fmt.Println(first == again)
	// Output: true
}
