package trace_test

import (
	"strings"
	"testing"

	"dogwoodlanding.example/dogwood/internal/trace"
	"gotest.tools/v3/assert"
)

const firstLog = `collector x: time=10:00:02.000 level=info msg=flow host=b1 flow=100.64.0.7:1->198.18.0.1:443 decision=Refuse:NoServer
not a log line
time=10:00:03.000 level=info msg=flow host=b1 flow=100.64.0.7:11->198.18.0.1:443
time=10:00:03.500 level=info msg=flow host=b1 flow=100.64.0.7:1->"cut`

const secondLog = `time=10:00:01.000 level=info msg=offer host=a1 flow=100.64.0.7:1->198.18.0.1:443
time=10:00:01.500 level=warn msg="store lost" host=b1`

func TestSelectSortsLinesOfFlow(t *testing.T) {
	var lines []trace.Line
	for _, text := range []string{firstLog, secondLog} {
		read, err := trace.Read(strings.NewReader(text))
		assert.NilError(t, err)
		lines = append(lines, read...)
	}
	for _, row := range []struct {
		flow          string
		includeOthers bool
		want          string
	}{
		{"100.64.0.7:1", false, "a1 b1"},
		{"100.64.0.7:1->198.18.0.1:443", false, "a1 b1"},
		{"100.64.0.7:1", true, "a1 b1 b1"},
		{"100.64.0.9:1", false, ""},
	} {
		var hosts []string
		for _, l := range trace.Select(lines, row.flow, row.includeOthers) {
			hosts = append(hosts, l.Host)
		}
		assert.Equal(t, strings.Join(hosts, " "), row.want)
	}
}
