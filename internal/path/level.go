package path

import (
	"sync"

	"dogwoodlanding.example/dogwood/pkg/burn"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"github.com/VictoriaMetrics/metrics"
)

// level counts events against the service level, by service, and shows how many of
// each kind the last windows had. Set set, clock and centre before the first add.
type level struct {
	set    *metrics.Set
	clock  clock.Clock
	centre string // data centre of the host

	mu       sync.Mutex
	services map[string]*burn.EventCounts
}

// add counts one event of a service.
func (l *level) add(service string, kind burn.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.services[service]
	if events == nil {
		if l.services == nil {
			l.services = make(map[string]*burn.EventCounts)
		}
		events = &burn.EventCounts{}
		l.services[service] = events
		l.show(service)
	}
	events.Add(l.clock.Now(), kind, 1)
}

// show adds a service's lines to the metrics page.
func (l *level) show(service string) {
	for i, window := range burn.Windows {
		for kind := range burn.Kind(burn.KindCount) {
			l.set.NewGauge(burn.MetricName(service, l.centre, window, kind), func() float64 { return l.read(service, i, kind) })
		}
	}
}

// read counts the events of one kind in a window.
func (l *level) read(service string, window int, kind burn.Kind) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	rate := burn.Rates(now, l.services[service].Buckets(now), 100)[window]
	if kind == burn.Good {
		return float64(rate.Total - rate.BadTotal())
	}
	return float64(rate.Bad[kind])
}
