package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/clock"
	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// A caller that reuses the port of an ended flow opens a new one while late packets of the
// old one still arrive. They must not discard the held SYN of the new flow, or wait behind
// it and be lost when it leaves.
func TestHeldSYNSurvivesEndOfEarlierFlow(t *testing.T) {
	for _, row := range []struct {
		name string
		act  func(t *testing.T, h *holder)
	}{
		{"the server returns a packet", func(t *testing.T, h *holder) {
			h.server(steer.Packet{Key: key(2), HasACK: true, Ack: 8, Seq: 200, Returned: true})
		}},
		{"the server resets the old flow", func(t *testing.T, h *holder) {
			h.server(steer.Packet{Key: key(2), RST: true})
		}},
		{"the caller retransmits the end of the old flow", func(t *testing.T, h *holder) {
			fin := steer.Packet{Key: key(2), HasACK: true, Ack: 8, Seq: 200, FIN: true}
			assert.Equal(t, h.offer(fin).Verdict, steer.Deliver)
		}},
		{"the caller's last data on the old flow is late", func(t *testing.T, h *holder) {
			assert.Equal(t, h.request(2, 5), steer.Deliver)
		}},
		{"the record of the old flow is deleted", func(t *testing.T, h *holder) {
			h.now += 400
			h.Tick(h.now)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHolder(5)
			h.offer(steer.Packet{Key: key(2), HasACK: true, Ack: 8, Seq: 200, FIN: true})
			h.server(steer.Packet{Key: key(2), HasACK: true, Seq: 108, FIN: true})
			h.now += 10*clock.Second - 300
			h.Tick(h.now)
			h.request(0, 2)
			h.request(1, 2)
			h.request(3, 2)
			assert.Equal(t, h.request(4, 2), steer.Wait)
			assert.Equal(t, h.offer(steer.Packet{Key: key(2), SYN: true, Seq: 9}).Verdict, steer.Wait)
			row.act(t, h)
			assert.Equal(t, h.QueueLength(), 2)
			h.answer(0)
			h.answer(1)
			h.answer(3)
			verdicts, packets := h.released(t)
			assert.DeepEqual(t, verdicts, []steer.Verdict{steer.Deliver, steer.Deliver})
			opened := 0
			for _, p := range packets {
				if p.SYN {
					opened++
				}
			}
			assert.Equal(t, opened, 1)
			assert.Equal(t, h.Load(), 2)
		})
	}
}
