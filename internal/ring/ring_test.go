package ring_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/internal/ring"
	"gotest.tools/v3/assert"
)

func TestPutDropsAndCountsItemsWhenFull(t *testing.T) {
	r := ring.New[int](2)
	assert.Assert(t, r.Put(1))
	assert.Assert(t, r.Put(2))
	assert.Assert(t, !r.Put(3))
	assert.Equal(t, r.Dropped(), uint64(1))
	assert.Equal(t, <-r.Items(), 1)
	assert.Equal(t, <-r.Items(), 2)
}
