package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// A SYN that would be late was sent on to other servers although all servers of a small
// service had denied it. Its caller got a reset rather than a late answer.
func TestSYNThatAllServersDeniedWaits(t *testing.T) {
	for _, row := range []struct {
		servers int
		goesOn  bool
	}{{3, false}, {12, true}} {
		h := newHolder(40)
		for n := range 50 { // so that the agent knows the service time
			h.request(0, n+2)
			h.now += 20
			h.answer(0)
		}
		for port := range 5 {
			h.request(port+1, 2) // the slots are in use
		}
		c := newCluster(t, row.servers, 1)
		p := steer.Packet{Key: key(5000), SYN: true, Seq: 1}
		var m, received steer.Message
		d := c.balancers[0].FromCaller(c.now, p, &m)
		for d.Verdict == steer.Offer && !m.LastOffer {
			m.Kind, m.Reason, m.Load, m.Slots = steer.DenyPacket, steer.Busy, 9, 2
			d = c.balancers[0].Denied(c.now, d.To, p, &m)
		}
		assert.Equal(t, d.Verdict, steer.Offer)
		m.Goal, m.TimeLimit, m.Priority, m.Revision = 200, 1500, 2, 0
		encoded := make([]byte, steer.MaxBytes)
		m.Encode(encoded)
		_, err := received.Decode(encoded)
		assert.NilError(t, err)
		assert.Equal(t, h.FromBalancer(h.now, h.from, &received, p).Verdict, steer.Wait)
		h.KeepRaw([]byte("packet"))
		h.now += 5
		for port := 6; port < 40; port++ {
			h.request(port, 2) // newer requests go first
		}
		_, ok := h.Release(h.now)
		assert.Equal(t, ok, row.goesOn, "%d servers", row.servers)
	}
}
