package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// SYNs that had left the queue with the crashed server still counted as those to deny when
// the server was judged bad by the crash. As many last offers were denied later, although
// a server takes these whatever the verdict.
func TestCrashLeavesNoEvictions(t *testing.T) {
	a := judgedAgent()
	a.AllWork = true
	now := clock.Millis(1_000_000)
	lastOffer := func(port int) steer.Outcome {
		m := steer.Message{Kind: steer.OfferPacket, Service: a.Service, Revision: 1, Slots: 2, Goal: 200, LastOffer: true}
		return a.FromBalancer(now, fromBalancer, &m, steer.Packet{Key: key(port), SYN: true})
	}
	a.Tick(now)
	for crash := range 3 { // the third one makes the verdict bad
		for port := range 10 {
			lastOffer(1000*crash + port)
		}
		assert.Assert(t, a.QueueLength() > 0)
		a.RecordRefusedConnection(now)
		for a.QueueLength() > 0 {
			_, ok := a.Release(now)
			assert.Assert(t, ok)
		}
		a.Release(now)
		now += 50
		a.Tick(now)
		fromServer(a, now, 1000*crash, steer.Packet{SYN: true, HasACK: true})
	}
	assert.Assert(t, a.Health().Bad)
	assert.Equal(t, lastOffer(5000).Verdict, steer.Wait)
	r, ok := a.Release(now)
	assert.Assert(t, !ok, "%v", r.Outcome)
}
