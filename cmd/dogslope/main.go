// Command dogslope measures how the cost of each role grows with size. It runs the
// decision cores and simulated networks and servers in one process, and fits a line
// through the measured sizes. docs/CAPACITY.md extrapolates to the planned size from
// these lines.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"text/tabwriter"

	"github.com/alexflint/go-arg"
	"gonum.org/v1/gonum/stat"
)

type args struct {
	Only string `arg:"--only" help:"run the measurements whose name contains this text"`
}

// Point is the value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Series is a measurement at several sizes, and the size to extrapolate to.
type Series struct {
	Name       string
	Unit       string // unit of the values
	SizeUnit   string // what the sizes count
	Points     []Point
	TargetSize float64 // size to extrapolate to
}

// Fit is the least-squares line through the points of a series.
type Fit struct {
	Base        float64 // value of the line at size 0
	PerUnit     float64 // slope
	Residual    float64 // largest distance of a point from the line, as a share of the largest value
	AtTarget    float64 // value of the line at the target size
	LargestSize float64 // largest measured size
}

// fit computes the line.
func (s Series) fit() Fit {
	x, y := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	largest := 0.0
	f := Fit{}
	for i, p := range s.Points {
		x[i], y[i] = p.Size, p.Value
		largest = max(largest, p.Value)
		f.LargestSize = max(f.LargestSize, p.Size)
	}
	f.Base, f.PerUnit = stat.LinearRegression(x, y, nil, false)
	for i := range x {
		distance := y[i] - f.Base - f.PerUnit*x[i]
		f.Residual = max(f.Residual, max(distance, -distance)/largest)
	}
	f.AtTarget = f.Base + f.PerUnit*s.TargetSize
	return f
}

// measurement returns one series, or several that are measured together.
type measurement struct {
	name string
	run  func() []Series
}

func main() {
	var a args
	arg.MustParse(&a)
	debug.SetGCPercent(gcPercent)
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "measurement\tunit\tof\tpoints\tbase\tslope\tresidual\tat size\tvalue")
	for _, m := range measurements {
		if !strings.Contains(m.name, a.Only) {
			continue
		}
		for _, s := range m.run() {
			printSeries(out, s)
		}
		out.Flush()
	}
}

func printSeries(out *tabwriter.Writer, s Series) {
	f := s.fit()
	var points []string
	for _, p := range s.Points {
		points = append(points, fmt.Sprintf("%.4g:%.4g", p.Size, p.Value))
	}
	fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.1f %%\t%.6g\t%.4g\n",
		s.Name, s.Unit, s.SizeUnit, strings.Join(points, " "), f.Base, f.PerUnit, f.Residual*100, s.TargetSize, f.AtTarget)
}
