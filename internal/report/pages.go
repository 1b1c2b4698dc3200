package report

import (
	"io"
	"sort"

	"dogwoodlanding.example/dogwood/pkg/burn"
	"dogwoodlanding.example/dogwood/pkg/clock"
)

// FromMetricsPages computes a report from the metrics pages of the processes that package
// path runs, for one objective in percent. The pages have no counts by minute, only the
// sums of each window, so the report's plots are empty.
func FromMetricsPages(at clock.Millis, objective float64, pages ...io.Reader) (Report, error) {
	rates := make(map[lineKey][]burn.Rate)
	for _, page := range pages {
		counts, err := burn.ParseMetrics(page)
		if err != nil {
			return Report{}, err
		}
		for _, c := range counts {
			for _, dataCentre := range []string{c.DataCentre, "all"} {
				key := lineKey{c.Service, dataCentre}
				rates[key] = addCount(rates[key], c)
			}
		}
	}
	r := Report{At: at}
	for key, list := range rates {
		for i := range list {
			list[i] = list[i].WithObjective(objective)
		}
		r.Lines = append(r.Lines, Line{Service: key.service, DataCentre: key.dataCentre, Objective: objective, Rates: list}.withBudgetLeft())
	}
	r.sort()
	return r, nil
}

// addCount adds a count to the rate of its window. If rates is nil, it first creates one
// for each window.
func addCount(rates []burn.Rate, c burn.WindowCount) []burn.Rate {
	if rates == nil {
		for _, window := range burn.Windows {
			rates = append(rates, burn.Rate{Window: window})
		}
	}
	for i, r := range rates {
		if r.Window == c.Window {
			added := burn.Rate{Total: c.Events}
			if c.Kind != burn.Good {
				added.Bad[c.Kind] = c.Events
			}
			rates[i] = r.AddEvents(added)
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
