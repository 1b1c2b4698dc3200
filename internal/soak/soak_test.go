package soak_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/internal/soak"
	"gotest.tools/v3/assert"
)

func TestSizesOutOfBoundsAreRefused(t *testing.T) {
	for _, s := range []*soak.Soak{
		{Balancers: 255, Servers: 1, Callers: 1}, {Balancers: 1, Servers: 255, Callers: 1},
		{Balancers: 1, Servers: 1, Callers: 255}, {Balancers: 0, Servers: 1, Callers: 1},
	} {
		_, err := s.Run()
		assert.ErrorContains(t, err, "there must be 1 to 254")
	}
}
