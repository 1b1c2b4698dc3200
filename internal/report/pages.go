package report

import (
	"io"
	"sort"

	"dogwoodlanding.example/dogwood/pkg/burn"
	"dogwoodlanding.example/dogwood/pkg/clock"
)

// FromPages computes a report from the metrics pages of the packet path's
// processes, for one objective in percent. Pages tell counts by window only, so
// the report has no curves.
func FromPages(at clock.Millis, objective float64, pages ...io.Reader) (Report, error) {
	rates := make(map[place][]burn.Rate)
	for _, page := range pages {
		counts, err := burn.ParseMetrics(page)
		if err != nil {
			return Report{}, err
		}
		for _, c := range counts {
			for _, centre := range []string{c.DataCentre, "all"} {
				key := place{c.Service, centre}
				rates[key] = addCount(rates[key], c)
			}
		}
	}
	r := Report{At: at}
	for key, list := range rates {
		for i := range list {
			list[i] = list[i].WithObjective(objective)
		}
		r.Lines = append(r.Lines, Line{Service: key.service, DataCentre: key.centre, Objective: objective, Rates: list}.withBudget())
	}
	r.sort()
	return r, nil
}

// addCount adds one count to the rate of its window.
func addCount(rates []burn.Rate, c burn.WindowCount) []burn.Rate {
	if rates == nil {
		for _, window := range burn.Windows {
			rates = append(rates, burn.Rate{Window: window})
		}
	}
	for i, r := range rates {
		if r.Window == c.Window {
			more := burn.Rate{Total: c.Events}
			if c.Kind != burn.Good {
				more.Bad[c.Kind] = c.Events
			}
			rates[i] = r.AddEvents(more)
		}
	}
	return rates
}

// sort orders the lines by service and data centre.
func (r Report) sort() {
	sort.Slice(r.Lines, func(i, j int) bool {
		a, b := r.Lines[i], r.Lines[j]
		return a.Service < b.Service || a.Service == b.Service && a.DataCentre < b.DataCentre
	})
}
