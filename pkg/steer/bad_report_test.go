package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

// A failing server is idle, since it gets few flows. Balancers that order servers by spare
// capacity would have most new flows visit it first, only to be denied.
func TestBadServerReportsHighUtilization(t *testing.T) {
	a := judgedAgent()
	request(a, 1_000_000, 1, steer.Serving)
	fromServer(a, 1_000_000, 1, steer.Packet{HasACK: true, Bytes: 10})
	var sound, bad steer.Message
	now := makeBad(t, a, 1_000_000)
	a.Report(&bad)
	assert.Assert(t, bad.HasReport && bad.Utilization >= 100, "before it is measured: %d", bad.Utilization)
	for range 50 {
		now += 100
		a.Tick(now)
	}
	a.Report(&bad)
	a.Disabled = a.Disabled.With(steer.EjectUnhealthy)
	a.Report(&sound)
	assert.Assert(t, sound.Utilization < 50, "%d", sound.Utilization)
	assert.Equal(t, bad.Utilization, sound.Utilization+100)
}
