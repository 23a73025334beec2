// Package recorder collects the figures of the measurements.
//
// Each area has a package under test/measure with a function Run(context.Context, *recorder.Recorder) error,
// which the program test/measure calls.
package recorder

import "sync"

// Better is the direction in which a figure improves.
type Better int

const (
	// Lower figures are better.
	Lower Better = iota
	// Higher figures are better.
	Higher
)

// Figure is a measured value with its optional target and the value of an optional baseline from the same run.
type Figure struct {
	Area     string
	Name     string
	Unit     string
	Value    float64
	Baseline float64 // valid only if BaselineName is set
	// BaselineName describes what was measured as the baseline; empty if there is none.
	BaselineName string
	Target       float64 // valid only if HasTarget is set
	HasTarget    bool
	Better       Better
}

// Missed reports whether the figure misses its target.
func (f Figure) Missed() bool {
	if !f.HasTarget {
		return false
	}
	if f.Better == Higher {
		return f.Value < f.Target
	}
	return f.Value > f.Target
}

// Point is one point of a series to plot.
type Point struct {
	X, Y float64
}

// Series is a line of a plot.
type Series struct {
	Plot   string // title of the plot; series with the same title share a plot
	Name   string
	XLabel string
	YLabel string
	Points []Point
}

// Recorder collects figures and series. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	figures []Figure
	series  []Series
}

// Add records a figure.
func (r *Recorder) Add(f Figure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures = append(r.figures, f)
}

// AddSeries records a series.
func (r *Recorder) AddSeries(s Series) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.series = append(r.series, s)
}

// Figures returns all figures in the order in which they were added.
func (r *Recorder) Figures() []Figure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Figure(nil), r.figures...)
}

// Series returns all series in the order in which they were added.
func (r *Recorder) Series() []Series {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Series(nil), r.series...)
}
