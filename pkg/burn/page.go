package burn

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"dogwoodlanding.example/dogwood/pkg/clock"
)

// metricFormat is the format of the metric that counts a service's events of one kind
// in a window. It is used for printing and for scanning.
const metricFormat = `dogwood_level_events{service=%q,data_centre=%q,window="%dm",kind=%q}`

// MetricName returns the metric name, with labels, under which a process exports a
// count.
func MetricName(service, dataCentre string, window clock.Millis, kind Kind) string {
	return fmt.Sprintf(metricFormat, service, dataCentre, window/clock.Minute, kind)
}

// WindowCount is a service's number of events of one kind in a window, as exported on
// a metrics page.
type WindowCount struct {
	Service    string
	DataCentre string
	Window     clock.Millis
	Kind       Kind
	Events     uint64
}

// ParseMetrics parses the counts on a metrics page in the Prometheus text format. It
// skips all other metrics.
func ParseMetrics(r io.Reader) ([]WindowCount, error) {
	prefix, _, _ := strings.Cut(metricFormat, "{")
	var out []WindowCount
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if !strings.HasPrefix(scanner.Text(), prefix+"{") {
			continue
		}
		c, err := parseCount(scanner.Text())
		if err != nil {
			return nil, fmt.Errorf("parse metrics page: line %q: %w", scanner.Text(), err)
		}
		out = append(out, c)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read metrics page: %w", err)
	}
	return out, nil
}

// parseCount parses one line of a metrics page.
func parseCount(line string) (WindowCount, error) {
	var c WindowCount
	var minutes int64
	var kind string
	name, value, found := strings.Cut(line, "} ")
	if !found {
		return c, fmt.Errorf("missing value")
	}
	if _, err := fmt.Sscanf(name+"}", metricFormat, &c.Service, &c.DataCentre, &minutes, &kind); err != nil {
		return c, err
	}
	events, err := strconv.ParseFloat(value, 64)
	if err != nil || events < 0 {
		return c, fmt.Errorf("value %q is not a count", value)
	}
	c.Window, c.Events = clock.Millis(minutes)*clock.Minute, uint64(events)
	for k := range Kind(KindCount) {
		if k.String() == kind {
			c.Kind = k
			return c, nil
		}
	}
	return c, fmt.Errorf("unknown kind %q", kind)
}
