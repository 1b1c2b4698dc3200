package share_test

import (
	"fmt"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/share"
	"gotest.tools/v3/assert"
)

func TestEstimateReportsServerAboveItsShare(t *testing.T) {
	for _, tt := range []struct {
		name   string
		own    share.Report
		others []share.Report
		want   bool
	}{
		{"no reports", share.Report{Held: 1000, Weight: 100}, nil, false},
		{"even", share.Report{Held: 100, Weight: 100}, []share.Report{{Held: 100, Weight: 100}}, false},
		{"slightly above its share", share.Report{Held: 105, Weight: 100}, []share.Report{{Held: 100, Weight: 100}}, false},
		{"far above its share", share.Report{Held: 200, Weight: 100}, []share.Report{{Held: 100, Weight: 100}}, true},
		{"twice the weight", share.Report{Held: 200, Weight: 200}, []share.Report{{Held: 100, Weight: 100}}, false},
		{"other server without flows", share.Report{Held: 100, Weight: 100}, []share.Report{{Weight: 100}}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var e share.Estimate
			for _, r := range tt.others {
				e.Record(0, 1, r)
			}
			assert.Equal(t, e.AboveShare(0, tt.own), tt.want)
			assert.Equal(t, e.AboveShare(6000, tt.own), false, "expired reports still count")
		})
	}
}

func ExampleEstimate() {
	var e share.Estimate
	e.Record(0, 1, share.Report{Held: 10, Weight: 100})
	fmt.Println(e.AboveShare(0, share.Report{Held: 50, Weight: 100}))
	// Output: true
}
