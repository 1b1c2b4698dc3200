package path

import (
	"fmt"

	"dogwoodlanding.example/dogwood/pkg/room"
)

// registerRooms creates the metrics of the services that have become known since the last
// call: how old the reports on their servers are, and what is estimated from them.
func (b *Balancer) registerRooms() {
	for _, service := range b.core.Services() {
		if b.stats.rooms[service] {
			continue
		}
		b.stats.rooms[service] = true
		for name, read := range map[string]func(room.Stats) float64{
			"reports":            func(s room.Stats) float64 { return float64(s.Reports) },
			"report_age_seconds": func(s room.Stats) float64 { return s.Age.Duration().Seconds() },
			"utilization":        func(s room.Stats) float64 { return s.Utilization },
			"spread":             func(s room.Stats) float64 { return s.Spread },
		} {
			b.stats.set.NewGauge(fmt.Sprintf("dogwood_room_%s{service=%q}", name, service), func() float64 {
				b.mu.Lock()
				defer b.mu.Unlock()
				return read(b.core.Room(b.Clock.Now(), service))
			})
		}
	}
}
