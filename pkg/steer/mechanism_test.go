package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

func TestParseMechanisms(t *testing.T) {
	set, err := steer.ParseMechanisms([]string{"FanOut", "NewestFirst"})
	assert.NilError(t, err)
	assert.Assert(t, set.Has(steer.FanOut))
	assert.Assert(t, set.Has(steer.NewestFirst))
	assert.Assert(t, !set.Has(steer.OwnerCache))
	_, err = steer.ParseMechanisms([]string{"FanOut", "Magic"})
	assert.ErrorContains(t, err, `"Magic" is not a mechanism, want one of OwnerCache,`)
}

func TestDisabledMechanismIsOff(t *testing.T) {
	c := newCluster(t, 60, 2)
	owner := c.open(c.balancers[0], 1000)
	p := dataPacket(1000, owner.server)
	for _, h := range c.hosts {
		h.server = newServer(7)
		h.restartAgent()
	}
	c.balancers[1].Disabled = c.balancers[1].Disabled.With(steer.FanOut)
	c.send(c.balancers[1], p)
	assert.Equal(t, len(c.resets), 1)
	assert.Equal(t, c.rounds, 60, "one agent after the other")
}
