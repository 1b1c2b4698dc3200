package burn_test

import (
	"fmt"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/burn"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"gotest.tools/v3/assert"
)

func TestRatesDropEventsOlderThanWindow(t *testing.T) {
	var events burn.EventCounts
	now := 1000 * clock.Hour
	events.Add(now, burn.UnknownResult, 1)
	events.Add(now, burn.Good, 99)
	for _, row := range []struct {
		after clock.Millis
		want  []uint64 // total in each window
	}{
		{0, []uint64{100, 100, 100}},
		{10 * clock.Minute, []uint64{0, 100, 100}},
		{2 * clock.Hour, []uint64{0, 0, 100}},
		{7 * clock.Hour, []uint64{0, 0, 0}},
	} {
		for i, rate := range burn.Rates(now+row.after, events.Buckets(now+row.after), 99) {
			assert.Equal(t, rate.Total, row.want[i])
		}
	}
}

func TestMergeAddsCountsByMinute(t *testing.T) {
	var a, b burn.EventCounts
	a.Add(clock.Hour, burn.Good, 1)
	b.Add(clock.Hour, burn.Good, 2)
	b.Add(2*clock.Hour, burn.Good, 4)
	merged := burn.Merge(a.Buckets(2*clock.Hour), b.Buckets(2*clock.Hour))
	assert.Equal(t, len(merged), 2)
	assert.Equal(t, merged[0].Counts[burn.Good], uint64(3))
}

func ExampleRates() {
	var events burn.EventCounts
	events.Add(clock.Hour, burn.Good, 98)
	events.Add(clock.Hour, burn.LateAnswer, 2)
	rate := burn.Rates(clock.Hour, events.Buckets(clock.Hour), 99)[0]
	fmt.Printf("%.1f\n", rate.Burn)
	// Output: 2.0
}
