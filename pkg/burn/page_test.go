package burn_test

import (
	"strings"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/burn"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"gotest.tools/v3/assert"
)

func TestParseMetricsReturnsCounts(t *testing.T) {
	line := burn.MetricName("desk", "dc1", clock.Hour, burn.LateAnswer) + " 17\n"
	counts, err := burn.ParseMetrics(strings.NewReader("other_total 4\n" + line))
	assert.NilError(t, err)
	assert.DeepEqual(t, counts, []burn.WindowCount{{Service: "desk", DataCentre: "dc1", Window: clock.Hour, Kind: burn.LateAnswer, Events: 17}})
}

func TestParseMetricsRejectsMalformedLines(t *testing.T) {
	validName := burn.MetricName("desk", "dc1", clock.Hour, burn.Good)
	for _, page := range []string{
		validName, validName + " x", validName + " -1", strings.Replace(validName, "Good", "Bad", 1) + " 1",
		strings.Replace(validName, `window="60m"`, `window="x"`, 1) + " 1",
	} {
		_, err := burn.ParseMetrics(strings.NewReader(page))
		assert.Assert(t, err != nil, page)
	}
}
