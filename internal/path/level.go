package path

import (
	"sync"

	"dogwoodlanding.example/dogwood/pkg/burn"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"github.com/VictoriaMetrics/metrics"
)

// serviceLevel counts good and bad events by service, and exports the number of each
// kind in the windows of package burn. Set set, clock and dataCentre before the first
// add.
type serviceLevel struct {
	set        *metrics.Set
	clock      clock.Clock
	dataCentre string // data centre of the host

	mu       sync.Mutex
	services map[string]*burn.EventCounts
}

// add records one event of a service.
func (l *serviceLevel) add(service string, kind burn.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.services[service]
	if events == nil {
		if l.services == nil {
			l.services = make(map[string]*burn.EventCounts)
		}
		events = &burn.EventCounts{}
		l.services[service] = events
		l.register(service)
	}
	events.Add(l.clock.Now(), kind, 1)
}

// register creates the metrics of a service, one for each window and kind.
func (l *serviceLevel) register(service string) {
	for i, window := range burn.Windows {
		for kind := range burn.Kind(burn.KindCount) {
			l.set.NewGauge(burn.MetricName(service, l.dataCentre, window, kind), func() float64 { return l.count(service, i, kind) })
		}
	}
}

// count returns the number of events of one kind in a window, an index of
// burn.Windows.
func (l *serviceLevel) count(service string, window int, kind burn.Kind) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	// The objective, 100 %, affects only the burn, which is not used here.
	rate := burn.Rates(now, l.services[service].Buckets(now), 100)[window]
	if kind == burn.Good {
		return float64(rate.Total - rate.BadTotal())
	}
	return float64(rate.Bad[kind])
}
