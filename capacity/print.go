package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes tables of the result and, as the last line, the result as JSON.
func (r Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "lists: workspaces\tbytes\tparse ms\tlimits ms\tlookup us\theap KB\t")
	for _, l := range r.Lists {
		fmt.Fprintf(t, "%d\t%.0f\t%.2f\t%.2f\t%.1f\t%.0f\t\n", l.Workspaces, l.Bytes,
			l.ParseSeconds*1e3, l.LimitsSeconds*1e3, l.LookupSeconds*1e6, l.HeapBytes/1e3)
	}
	fmt.Fprintln(t, "view: nodes\thost list bytes\tdecode ms\tstep ms\theap KB\t")
	for _, v := range r.Views {
		fmt.Fprintf(t, "%d\t%.0f\t%.2f\t%.2f\t%.0f\t\n", v.Nodes, v.HostListBytes, v.DecodeSeconds*1e3, v.StepSeconds*1e3, v.HeapBytes/1e3)
	}
	fmt.Fprintln(t, "members: nodes\tmsg/s\tbody B/s\tcore %\tus/step\theap KB\tconfig s\tfetches\tmost served\tloss s\tloss B/s\t")
	for _, f := range r.Fleet {
		fmt.Fprintf(t, "%d\t%.1f\t%.0f\t%.3f\t%.1f\t%.0f\t%.2f\t%.1f\t%.0f\t%.2f\t%.0f\t\n", f.Nodes, f.Messages, f.Bytes,
			f.CPUSeconds*100, f.StepMicros, f.HeapBytes/1e3, f.ConfigSeconds, f.Fetches, f.MaxServed, f.LossSeconds, f.LossBytes)
	}
	r.printCells(t)
	r.printParts(t)
	r.printRoles(t)
	if err := t.Flush(); err != nil {
		return err
	}
	return json.NewEncoder(w).Encode(r)
}

func (r Result) printCells(t io.Writer) {
	fmt.Fprintln(t, "cells: nodes\tcells\tmsg/s\tbody B/s\tmax B/s\tsteps/s\tcore %\theap KB\trunning\twaiting\tready s\tloss B\tloss max B\tloss cpu ms\t")
	for _, c := range r.Cells {
		fmt.Fprintf(t, "%d\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t%d\t%d\t", c.Nodes, c.Cells, c.Messages, c.Bytes, c.MaxBytes,
			c.Steps, c.CPUSeconds*100, c.HeapBytes/1e3, c.Running, c.Waiting)
		if c.Loss != nil {
			fmt.Fprintf(t, "%.2f\t%.0f\t%.0f\t%.1f\t", c.Loss.ReadySeconds, c.Loss.Bytes, c.Loss.MaxBytes, c.Loss.CPUSeconds*1e3)
		}
		fmt.Fprintln(t)
	}
}

func (r Result) printRoles(t io.Writer) {
	fmt.Fprintln(t, "role at the target, per node\tmsg/s\tB/s\tof budget\tcore %\tof budget\tstate KB\textrapolated\t")
	for _, x := range r.Roles {
		fmt.Fprintf(t, "%s\t%.1f\t%.0f\t%.2f\t%.3f\t%.2f\t%.0f\t%.1f\t\n", x.Name, x.Messages, x.BytesPerSecond,
			x.BytesPerSecond/r.Budgets.BytesPerSecond, x.CoreShare*100, x.CoreShare/r.Budgets.CoreShare, x.StateBytes/1e3, x.Extrapolation)
	}
}

func (r Result) printParts(t io.Writer) {
	fmt.Fprintln(t, "transport: body bytes\tsent bytes\tack bytes\tcpu us\t")
	for _, x := range r.Transport {
		fmt.Fprintf(t, "%d\t%.1f\t%.1f\t%.0f\t\n", x.BodyBytes, x.SentBytes, x.AckBytes, x.CPUSeconds*1e6)
	}
	fmt.Fprintln(t, "records: calls\tfull bytes\tcompact bytes\twrites/call\treads/call\tcpu us/call\t")
	for _, x := range r.Records {
		fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.2f\t%.2f\t%.0f\t\n", x.Calls, x.FullBytes, x.CompactBytes, x.Writes, x.Reads, x.CPUSeconds*1e6)
	}
	fmt.Fprintln(t, "timeline: bytes/event\tcpu ns/event\tmessage overhead bytes\t")
	fmt.Fprintf(t, "%.0f\t%.0f\t%.0f\t\n", r.Timeline.HeapBytes, r.Timeline.CPUSeconds*1e9, r.Overhead)
}
