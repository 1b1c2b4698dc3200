package steer_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/pkg/steer"
	"gotest.tools/v3/assert"
)

func TestParseMechanisms(t *testing.T) {
	set, err := steer.ParseMechanisms([]string{"SilentLast", "NewestFirst"})
	assert.NilError(t, err)
	assert.Assert(t, set.Has(steer.SilentLast))
	assert.Assert(t, set.Has(steer.NewestFirst))
	assert.Assert(t, !set.Has(steer.OwnerCache))
	_, err = steer.ParseMechanisms([]string{"SilentLast", "Magic"})
	assert.ErrorContains(t, err, `"Magic" is not a mechanism, want one of OwnerCache,`)
}

func TestDisabledMechanismIsOff(t *testing.T) {
	c := newCluster(t, 6, 1)
	b := c.balancers[0]
	owner := c.open(b, 1000)
	b.Disabled = b.Disabled.With(steer.OwnerCache)
	var m steer.Message
	assert.Equal(t, b.FromCaller(c.now, dataPacket(1000, owner.server), &m).Reason, steer.Searching)
}
