// Package report writes the figures of the measurements as text and CSV and draws their series.
package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"laburnumrouter/test/measure/recorder"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Write writes figures.txt, figures.csv and one SVG file per plot into dir.
func Write(dir string, r *recorder.Recorder) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(dir, "figures.txt"), func(w io.Writer) error { return Table(w, r.Figures()) }); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(dir, "figures.csv"), func(w io.Writer) error { return writeCSV(w, r.Figures()) }); err != nil {
		return err
	}
	return writePlots(dir, r.Series())
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// Table writes one line per figure with its baseline, the ratio of value to baseline, and its target.
func Table(w io.Writer, figures []recorder.Figure) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "AREA\tFIGURE\tVALUE\tUNIT\tBASELINE\tRATIO\tTARGET\tMET")
	for _, f := range figures {
		fmt.Fprintln(t, strings.Join(cells(f), "\t"))
	}
	return t.Flush()
}

// Missed writes the figures that miss their targets and returns their number.
func Missed(w io.Writer, figures []recorder.Figure) int {
	missed := 0
	for _, f := range figures {
		if f.Missed() {
			missed++
			fmt.Fprintf(w, "target missed: %s: %s: %s %s, target %s\n", f.Area, f.Name, formatNumber(f.Value), f.Unit, formatTarget(f))
		}
	}
	return missed
}

func cells(f recorder.Figure) []string {
	baseline, ratio := "", ""
	if f.BaselineName != "" {
		baseline = fmt.Sprintf("%s (%s)", formatNumber(f.Baseline), f.BaselineName)
		if f.Baseline != 0 {
			ratio = formatNumber(f.Value / f.Baseline)
		}
	}
	met := ""
	if f.HasTarget {
		met = "yes"
	}
	if f.Missed() {
		met = "NO"
	}
	return []string{f.Area, f.Name, formatNumber(f.Value), f.Unit, baseline, ratio, formatTarget(f), met}
}

func formatTarget(f recorder.Figure) string {
	if !f.HasTarget {
		return ""
	}
	if f.Better == recorder.Higher {
		return ">= " + formatNumber(f.Target)
	}
	return "<= " + formatNumber(f.Target)
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

func writeCSV(w io.Writer, figures []recorder.Figure) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"area", "figure", "value", "unit", "baseline", "ratio", "target", "met"})
	for _, f := range figures {
		_ = out.Write(cells(f))
	}
	out.Flush()
	return out.Error()
}

var unsafeInFileName = regexp.MustCompile(`[^a-z0-9]+`)

func writePlots(dir string, series []recorder.Series) error {
	byPlot := make(map[string][]recorder.Series)
	for _, s := range series {
		byPlot[s.Plot] = append(byPlot[s.Plot], s)
	}
	for title, lines := range byPlot {
		name := strings.Trim(unsafeInFileName.ReplaceAllString(strings.ToLower(title), "-"), "-") + ".svg"
		if err := savePlot(filepath.Join(dir, name), title, lines); err != nil {
			return fmt.Errorf("plot %s: %w", title, err)
		}
	}
	return nil
}

func savePlot(path, title string, lines []recorder.Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = lines[0].XLabel
	p.Y.Label.Text = lines[0].YLabel
	p.Legend.Top = true
	for i, s := range lines {
		points := make(plotter.XYs, len(s.Points))
		for j, point := range s.Points {
			points[j] = plotter.XY{X: point.X, Y: point.Y}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}
