package soak_test

import (
	"testing"

	"dogwoodlanding.example/dogwood/internal/soak"
	"gotest.tools/v3/assert"
)

func TestRunRejectsCountsOutOfRange(t *testing.T) {
	for _, s := range []*soak.Soak{
		{BalancerCount: 255, ServerCount: 1, CallerCount: 1}, {BalancerCount: 1, ServerCount: 255, CallerCount: 1},
		{BalancerCount: 1, ServerCount: 1, CallerCount: 255}, {BalancerCount: 0, ServerCount: 1, CallerCount: 1},
	} {
		_, err := s.Run()
		assert.ErrorContains(t, err, "must each be between 1 and 254")
	}
}
