package report_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"dogwoodlanding.example/dogwood/internal/report"
	"dogwoodlanding.example/dogwood/pkg/burn"
	"gotest.tools/v3/assert"
)

// metricsPage returns a metrics page with the same counts in every window.
func metricsPage(service, dataCentre string, counts map[burn.Kind]int) io.Reader {
	var b strings.Builder
	for _, window := range burn.Windows {
		for kind, n := range counts {
			fmt.Fprintf(&b, "%s %d\n", burn.MetricName(service, dataCentre, window, kind), n)
		}
	}
	return strings.NewReader(b.String())
}

func TestFromMetricsPagesAddsCountsOfAllProcesses(t *testing.T) {
	r, err := report.FromMetricsPages(0, 99,
		metricsPage("desk", "dc1", map[burn.Kind]int{burn.Good: 90, burn.LateAnswer: 6}),
		metricsPage("desk", "dc2", map[burn.Kind]int{burn.Good: 100}),
		metricsPage("desk", "dc1", map[burn.Kind]int{burn.RefusedWork: 4}),
	)
	assert.NilError(t, err)
	type row struct {
		dataCentre string
		total      uint64
		burn       string
		worst      string
	}
	var got []row
	for _, l := range r.Lines {
		got = append(got, row{l.DataCentre, l.Rates[0].Total, fmt.Sprintf("%.1f", l.Rates[0].Burn), l.Worst})
	}
	assert.Equal(t, fmt.Sprint(got), fmt.Sprint([]row{{"all", 200, "5.0", "LateAnswer"}, {"dc1", 100, "10.0", "LateAnswer"}, {"dc2", 100, "0.0", ""}}))
}
