package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// ErrNoResult means that the input holds no valid run result.
var ErrNoResult = eris.New("no run result found")

const maxLine = 4 << 20

// ReadResults reads the results from the output of one or more runs. Each line
// that starts with a brace is a result. Error: ErrNoResult.
func ReadResults(r io.Reader) ([]Result, error) {
	var results []Result
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line := bytes.TrimSpace(scanner.Bytes())
		if !bytes.HasPrefix(line, []byte("{")) {
			continue
		}
		var result Result
		if err := json.Unmarshal(line, &result); err != nil {
			return nil, eris.Wrap(ErrNoResult, err.Error())
		}
		results = append(results, result)
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(ErrNoResult, err.Error())
	}
	if len(results) == 0 {
		return nil, ErrNoResult
	}
	return results, nil
}

// Spread summarizes one measure over several runs.
type Spread struct {
	Name string
	Unit string
	// Runs is the number of runs that have the measure.
	Runs   int
	Min    float64
	Median float64
	Max    float64
}

// Group holds the runs of one deployment and label.
type Group struct {
	Name     string
	Results  []Result
	Measures []Spread
	// Broken counts the runs that violated a guarantee.
	Broken int
}

// Summarize groups results by deployment and label, in the order in which they
// first appear.
func Summarize(results []Result) []Group {
	var groups []Group
	for _, result := range results {
		name := result.Deployment
		if result.Label != "" {
			name += " " + result.Label
		}
		i := slices.IndexFunc(groups, func(g Group) bool { return g.Name == name })
		if i < 0 {
			i = len(groups)
			groups = append(groups, Group{Name: name})
		}
		groups[i].Results = append(groups[i].Results, result)
		if !result.OK {
			groups[i].Broken++
		}
	}
	for i := range groups {
		groups[i].Measures = summarizeMeasures(groups[i].Results)
	}
	return groups
}

func summarizeMeasures(results []Result) []Spread {
	var all []Spread
	for i, row := range results[0].rows() {
		var values []float64
		for _, result := range results {
			if value := result.rows()[i].value; value != nil {
				values = append(values, *value)
			}
		}
		if len(values) == 0 {
			continue
		}
		slices.Sort(values)
		all = append(all, Spread{
			Name: row.name, Unit: row.unit, Runs: len(values),
			Min: values[0], Median: median(values), Max: values[len(values)-1],
		})
	}
	return all
}

func median(sorted []float64) float64 {
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// PrintSummary writes the spread of each measure over the runs of each group.
func PrintSummary(w io.Writer, groups []Group) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, g := range groups {
		fmt.Fprintf(table, "%s\truns %d\tbroken %d\t\t\n", g.Name, len(g.Results), g.Broken)
		fmt.Fprintf(table, "  measure\tmin\tmedian\tmax\tunit\n")
		for _, m := range g.Measures {
			fmt.Fprintf(table, "  %s\t%.3f\t%.3f\t%.3f\t%s\n", m.Name, m.Min, m.Median, m.Max, m.Unit)
		}
	}
	return table.Flush()
}
