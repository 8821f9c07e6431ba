package load

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"github.com/rotisserie/eris"
)

// ErrReport means that the HTML report could not be written.
var ErrReport = eris.New("cannot write report")

//go:embed report.html
var reportPage string

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"number": func(v float64) string { return fmt.Sprintf("%.3f", v) },
}).Parse(reportPage))

// barWidth is the length of the longest bar in pixels.
const barWidth = 420.0

// chart is a bar chart of one measure with one bar per group.
type chart struct {
	Name string
	Unit string
	Bars []bar
}

// Height returns the height of the drawing in pixels.
func (c chart) Height() int { return len(c.Bars) * barHeight }

const barHeight = 22

// bar draws the median of a group as a bar and its range as a line.
type bar struct {
	Label            string
	Y                int
	Median, From, To float64 // in pixels
	Spread           Spread
}

// TextY returns the y coordinate of the label's baseline.
func (b bar) TextY() int { return b.Y + barHeight - 7 }

// LineY returns the y coordinate of the range line.
func (b bar) LineY() int { return b.Y + barHeight/2 }

// WriteReport writes an HTML page with charts and tables of the groups. Error:
// ErrReport.
func WriteReport(w io.Writer, groups []Group) error {
	page := struct {
		Groups []Group
		Charts []chart
	}{groups, charts(groups)}
	if err := reportTemplate.Execute(w, page); err != nil {
		return eris.Wrap(ErrReport, err.Error())
	}
	return nil
}

// charts returns one chart for each measure that any group has.
func charts(groups []Group) []chart {
	var all []chart
	index := map[string]int{}
	for _, g := range groups {
		for _, m := range g.Measures {
			i, seen := index[m.Name]
			if !seen {
				i = len(all)
				index[m.Name] = i
				all = append(all, chart{Name: m.Name, Unit: m.Unit})
			}
			c := &all[i]
			c.Bars = append(c.Bars, bar{Label: g.Name, Y: len(c.Bars) * barHeight, Spread: m})
		}
	}
	for i := range all {
		all[i].scale()
	}
	return all
}

// scale sets the pixel lengths so that the largest value is barWidth long.
func (c *chart) scale() {
	largest := 0.0
	for _, b := range c.Bars {
		largest = max(largest, b.Spread.Max)
	}
	if largest <= 0 {
		return
	}
	for i := range c.Bars {
		b := &c.Bars[i]
		b.Median = b.Spread.Median / largest * barWidth
		b.From = b.Spread.Min / largest * barWidth
		b.To = b.Spread.Max / largest * barWidth
	}
}
