package burn

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"dogwoodlanding.example/dogwood/pkg/clock"
)

// metricFormat is the name of the metric that holds how many events of one kind a
// service had in a window.
const metricFormat = `dogwood_level_events{service=%q,data_centre=%q,window="%dm",kind=%q}`

// MetricName names a metric on a process's page.
func MetricName(service, centre string, window clock.Millis, kind Kind) string {
	return fmt.Sprintf(metricFormat, service, centre, window/clock.Minute, kind)
}

// Count is what a metrics page says of one kind of event.
type Count struct {
	Service    string
	DataCentre string
	Window     clock.Millis
	Kind       Kind
	Events     uint64
}

// ReadPage reads the counts from a metrics page. Other metrics are skipped.
func ReadPage(r io.Reader) ([]Count, error) {
	prefix, _, _ := strings.Cut(metricFormat, "{")
	var out []Count
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if !strings.HasPrefix(scanner.Text(), prefix+"{") {
			continue
		}
		c, err := readCount(scanner.Text())
		if err != nil {
			return nil, fmt.Errorf("metrics page: %q: %w", scanner.Text(), err)
		}
		out = append(out, c)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read metrics page: %w", err)
	}
	return out, nil
}

func readCount(line string) (Count, error) {
	var c Count
	var minutes int64
	var kind string
	name, value, found := strings.Cut(line, "} ")
	if !found {
		return c, fmt.Errorf("no value")
	}
	if _, err := fmt.Sscanf(name+"}", metricFormat, &c.Service, &c.DataCentre, &minutes, &kind); err != nil {
		return c, err
	}
	events, err := strconv.ParseFloat(value, 64)
	if err != nil || events < 0 {
		return c, fmt.Errorf("the value %q is no count", value)
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
