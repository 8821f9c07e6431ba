package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// measureRow is one measure in the result table.
type measureRow struct {
	name  string
	unit  string
	value *float64
}

// unitsToTokens converts milli-units of service to generated tokens.
func unitsToTokens(milliUnits float64) *float64 {
	t := milliUnits / 1000
	return &t
}

// rows returns the measures in the order in which the design lists them.
func (r Result) rows() []measureRow {
	return []measureRow{
		{"fairness gap", "tokens per weight", unitsToTokens(r.FairnessGap)},
		{"fairness bound", "tokens per weight", unitsToTokens(r.FairnessBound)},
		{"utilisation", "", &r.Utilisation},
		{"control traffic", "bytes/s per node", r.ControlBytesPerNode},
		{"deadlines met at the crest", "", r.CrestDeadlines},
		{"short wait p95", "ms", &r.ShortWaitP95},
		{"p99 with slowed runners / without", "", r.SlowedP99Ratio},
	}
}

// Print writes a table of the measures, then the result as one line of JSON.
func (r Result) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range r.rows() {
		fmt.Fprintf(table, "%s\t%s\t%s\n", row.name, formatMeasure(row.value), row.unit)
	}
	fmt.Fprintf(table, "complete / requests\t%d / %d\t\n", r.Complete, r.Requests)
	fmt.Fprintf(table, "refused, failed, unknown\t%d, %d, %d\t\n", r.Refused, r.Failed, r.Unknown)
	fmt.Fprintf(table, "lost, abandoned, resumed\t%d, %d, %d\t\n", r.Lost, r.Abandoned, r.Resumed)
	fmt.Fprintf(table, "incomplete, wrong\t%d, %d\t\n", r.Incomplete, r.Wrong)
	fmt.Fprintf(table, "duplicate runs, false not run\t%d, %d\t\n", r.DuplicateRuns, r.FalseNotRun)
	for _, code := range sortedKeys(r.Codes) {
		fmt.Fprintf(table, "  %s\t%d\t\n", code, r.Codes[code])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return json.NewEncoder(w).Encode(r)
}

func formatMeasure(value *float64) string {
	if value == nil {
		return "-"
	}
	return fmt.Sprintf("%.3f", *value)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
