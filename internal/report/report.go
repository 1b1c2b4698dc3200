// Package report computes from the counters of the processes how fast each service uses
// up its error budget, and which kind of bad event uses up most of it.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"time"

	"dogwoodlanding.example/dogwood/internal/fleet"
	"dogwoodlanding.example/dogwood/pkg/burn"
	"dogwoodlanding.example/dogwood/pkg/clock"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// budgetPeriodDays is the length of the period that an objective's error budget is for.
const budgetPeriodDays = 30

// Line is the part of a report about one service in one data centre, or in all of them.
type Line struct {
	Service    string
	DataCentre string      // "all" for the sum over all data centres
	Objective  float64     // required percentage of good events
	Rates      []burn.Rate // one for each of burn.Windows
	BudgetLeft float64     // fraction of the error budget, 0 to 1; see withBudgetLeft
	Worst      string      // most frequent kind of bad event in the longest window, or ""

	buckets []burn.Bucket // counts by minute for the plot
}

// Report holds the burn rates of all services, sorted by service and data centre.
type Report struct {
	At    clock.Millis
	Lines []Line
}

// lineKey identifies a line.
type lineKey struct{ service, dataCentre string }

// FromSnapshot computes a report from the agents' states in a snapshot.
func FromSnapshot(s fleet.Snapshot) Report {
	buckets := make(map[lineKey][][]burn.Bucket)
	objectives := make(map[string]float64)
	for _, state := range s.States {
		if state.Service == "" {
			continue
		}
		objectives[state.Service] = state.Objective
		for _, dataCentre := range []string{state.DataCentre, "all"} {
			key := lineKey{state.Service, dataCentre}
			buckets[key] = append(buckets[key], state.Events)
		}
	}
	r := Report{At: s.At}
	for key, lists := range buckets {
		r.Lines = append(r.Lines, newLine(s.At, key, objectives[key.service], burn.Merge(lists...)))
	}
	r.sort()
	return r
}

// newLine computes the line of a key from the merged counts of its agents.
func newLine(at clock.Millis, key lineKey, objective float64, buckets []burn.Bucket) Line {
	line := Line{Service: key.service, DataCentre: key.dataCentre, Objective: objective, buckets: buckets}
	line.Rates = burn.Rates(at, buckets, objective)
	return line.withBudgetLeft()
}

// withBudgetLeft returns the line with BudgetLeft and Worst computed from the longest
// window. BudgetLeft is the fraction of a 30-day error budget that the bad events of
// that window leave, at least 0. It assumes that events come at an even rate.
func (line Line) withBudgetLeft() Line {
	longest := line.Rates[len(line.Rates)-1]
	days := float64(longest.Window) / float64(24*clock.Hour)
	line.BudgetLeft = max(0, 1-longest.Burn*days/budgetPeriodDays)
	worstCount := uint64(0)
	for kind, n := range longest.Bad {
		if n > worstCount {
			worstCount, line.Worst = n, burn.Kind(kind).String()
		}
	}
	return line
}

// Text writes the report as a table for a terminal.
func (r Report) Text(w io.Writer) {
	fmt.Fprintf(w, "service-level burn at %s (1.0 spends a %d-day budget exactly)\n", r.At.Time().Format(time.RFC3339), budgetPeriodDays)
	fmt.Fprintf(w, "%-14s %-12s %9s %8s %8s %8s %9s %8s %s\n", "service", "data centre", "objective", "5m", "1h", "6h", "budget", "events", "worst")
	for _, l := range r.Lines {
		longest := l.Rates[len(l.Rates)-1]
		fmt.Fprintf(w, "%-14s %-12s %8.2f%% %8.2f %8.2f %8.2f %8.1f%% %8d %s\n",
			l.Service, l.DataCentre, l.Objective, l.Rates[0].Burn, l.Rates[1].Burn, l.Rates[2].Burn, l.BudgetLeft*100, longest.Total, l.Worst)
	}
}

// Compare writes the burn rate of each line over the longest window, in the earlier
// report and in this one.
func (r Report) Compare(w io.Writer, earlier Report) {
	before := make(map[lineKey]Line)
	for _, l := range earlier.Lines {
		before[lineKey{l.Service, l.DataCentre}] = l
	}
	fmt.Fprintf(w, "change of the 6h burn since %s\n", earlier.At.Time().Format(time.RFC3339))
	for _, l := range r.Lines {
		old, ok := before[lineKey{l.Service, l.DataCentre}]
		if !ok {
			fmt.Fprintf(w, "%-14s %-12s is new\n", l.Service, l.DataCentre)
			continue
		}
		last := len(l.Rates) - 1
		fmt.Fprintf(w, "%-14s %-12s %8.2f -> %8.2f\n", l.Service, l.DataCentre, old.Rates[last].Burn, l.Rates[last].Burn)
	}
}

// plottedLine is a line with its plot.
type plottedLine struct {
	Line
	Picture template.HTML // SVG
}

var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font: 15px sans-serif; margin: 2em; color: #222 }
table { border-collapse: collapse; margin-bottom: 2em }
th, td { border-bottom: 1px solid #ccc; padding: .3em .8em; text-align: right }
th:first-child, td:first-child, td:nth-child(2), th:nth-child(2), td:last-child, th:last-child { text-align: left }
.hot { color: #b00020; font-weight: bold }
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.At}}. A burn of 1.0 spends the budget of thirty days exactly.</p>
<table><tr><th>service</th><th>data centre</th><th>objective</th><th>5 min</th><th>1 h</th><th>6 h</th><th>budget left</th><th>worst</th></tr>
{{range .Lines}}<tr><td>{{.Service}}</td><td>{{.DataCentre}}</td><td>{{printf "%.2f" .Objective}} %</td>
{{range .Rates}}<td{{if gt .Burn 1.0}} class="hot"{{end}}>{{printf "%.2f" .Burn}}</td>{{end}}
<td>{{printf "%.1f" .Percent}} %</td><td>{{.Worst}}</td></tr>{{end}}
</table>
{{range .Lines}}{{if eq .DataCentre "all"}}<h2>{{.Service}}</h2>{{.Picture}}{{end}}{{end}}
</body></html>
`))

// Percent returns the budget left in percent. The page template calls it.
func (l Line) Percent() float64 { return l.BudgetLeft * 100 }

// HTML writes the report as an HTML page that loads no other resources.
func (r Report) HTML(w io.Writer) error {
	data := struct {
		At    string
		Lines []plottedLine
	}{At: r.At.Time().Format(time.RFC1123)}
	for _, l := range r.Lines {
		picture, err := l.plotSVG()
		if err != nil {
			return err
		}
		data.Lines = append(data.Lines, plottedLine{l, picture})
	}
	return errors.Wrap(pageTemplate.Execute(w, data), "write the report's page")
}

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// yAxisHeadroom is the ratio of the upper end of the y axis to the highest point, which
// keeps that point off the edge of the plot.
const yAxisHeadroom = 1.1

// plotSVG plots the percentage of bad events in each minute. It returns an SVG element.
func (l Line) plotSVG() (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "minutes, the last with events is 0"
	p.Y.Label.Text = "bad events, %"
	p.Y.Min = 0
	points := make(plotter.XYs, 0, len(l.buckets))
	maxShare := 1.0
	for _, b := range l.buckets {
		total, bad := uint64(0), uint64(0)
		for kind, n := range b.Counts {
			total += n
			if burn.Kind(kind) != burn.Good {
				bad += n
			}
		}
		share := 100 * float64(bad) / float64(max(1, total))
		points = append(points, plotter.XY{X: float64(b.Minute - l.buckets[len(l.buckets)-1].Minute), Y: share})
		maxShare = max(maxShare, share)
	}
	p.Y.Max = maxShare * yAxisHeadroom
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil && len(points) > 0 {
		return "", errors.Wrap(err, "plot bad events")
	}
	if len(points) > 0 {
		p.Add(plotter.NewGrid(), line, dots)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "draw plot")
	}
	svg := out.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at >= 0 {
		svg = svg[at:]
	}
	return template.HTML(svg), nil
}
