package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/url"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/lacewingshift/lacewingshift/event"
)

func (e *env) statusCommand() *command {
	return &command{env: e, name: "status", synopsis: "Print the status of the fleet as JSON",
		run: func(ctx context.Context, _ []string) error {
			a, err := e.call(ctx, request{method: "GET", path: "/v1/status"})
			if err != nil {
				return err
			}
			var out bytes.Buffer
			if json.Indent(&out, a.body, "", "  ") != nil {
				return failuref("the router's answer is not JSON")
			}
			_, err = out.WriteTo(e.out)
			return err
		}}
}

func (e *env) drainCommand() *command {
	return &command{env: e, name: "drain", args: "", synopsis: "Make the router at -admin finish its requests and stop",
		run: func(ctx context.Context, _ []string) error {
			addresses := e.addresses()
			// With several addresses, another router would be drained if the intended
			// one is not reachable.
			if len(addresses) != 1 {
				return usagef("drain needs exactly one address in -admin")
			}
			_, err := e.callAddress(ctx, addresses[0], request{method: "POST", path: "/v1/drain"})
			if err == nil {
				fmt.Fprintf(e.out, "%s is draining\n", addresses[0])
			}
			return err
		}}
}

func (e *env) timelineCommand() *command {
	query := map[string]*string{}
	var jsonLines bool
	return &command{env: e, name: "timeline", args: "[flags]", synopsis: "Print the events of all routers in -admin in order of time",
		flags: func(f *flag.FlagSet) {
			for _, name := range []string{"request", "workspace", "upstream"} {
				query[name] = f.String(name, "", "only events of this "+name)
			}
			for _, name := range []string{"since", "until"} {
				query[name] = f.String(name, "", "time like 2026-01-02T15:04:05Z, or a duration before now like 5m")
			}
			f.BoolVar(&jsonLines, "json", false, "print JSON lines")
		},
		run: func(ctx context.Context, _ []string) error {
			path, err := timelinePath(query, time.Now())
			if err != nil {
				return err
			}
			events, err := e.collectEvents(ctx, path)
			if err != nil {
				return err
			}
			if jsonLines {
				return e.printJSONLines(events)
			}
			return e.printEvents(events)
		}}
}

// timelinePath returns the path and query of the timeline request. It converts durations
// before now to times.
func timelinePath(query map[string]*string, now time.Time) (string, error) {
	values := url.Values{}
	for name, value := range query {
		if *value == "" {
			continue
		}
		if before, err := time.ParseDuration(*value); err == nil && (name == "since" || name == "until") {
			*value = now.Add(-before).UTC().Format(time.RFC3339Nano)
		}
		values.Set(name, *value)
	}
	for _, name := range []string{"since", "until"} {
		if v := values.Get(name); v != "" {
			if _, err := time.Parse(time.RFC3339Nano, v); err != nil {
				return "", usagef("-%s must be a time like 2026-01-02T15:04:05Z or a duration like 5m", name)
			}
		}
	}
	return "/v1/timeline?" + values.Encode(), nil
}

// collectEvents gets the events of all routers and sorts them by their hybrid logical
// timestamps. It prints the routers that do not answer, and fails if none does.
func (e *env) collectEvents(ctx context.Context, path string) ([]event.Event, error) {
	var events []event.Event
	err := usagef("the flag -admin contains no address")
	answered := 0
	for _, address := range e.addresses() {
		var a answer
		a, err = e.callAddress(ctx, address, request{method: "GET", path: path})
		if err != nil {
			fmt.Fprintf(e.err, "lacewingctl: no events from %s: %v\n", address, err)
			continue
		}
		answered++
		events = append(events, parseEvents(a.body)...)
	}
	if answered == 0 {
		return nil, err
	}
	slices.SortStableFunc(events, func(a, b event.Event) int { return compareTimestamps(a.At, b.At) })
	return events, nil
}

func compareTimestamps(a, b event.Timestamp) int {
	switch {
	case a.Before(b):
		return -1
	case b.Before(a):
		return 1
	}
	return 0
}

func parseEvents(body []byte) []event.Event {
	var events []event.Event
	decoder := json.NewDecoder(bytes.NewReader(body))
	for {
		var e event.Event
		if decoder.Decode(&e) != nil {
			return events
		}
		events = append(events, e)
	}
}

func (e *env) printJSONLines(events []event.Event) error {
	encoder := json.NewEncoder(e.out)
	for _, ev := range events {
		if err := encoder.Encode(ev); err != nil {
			return err
		}
	}
	return nil
}

// printEvents prints a table of events, each with the time since the previous one. For
// the events of one request this is the time between two stages.
func (e *env) printEvents(events []event.Event) error {
	table := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tAFTER\tHOST\tPART\tEVENT\tREQUEST\tWORKSPACE\tUPSTREAM\tDETAIL")
	for i, ev := range events {
		after := time.Duration(0)
		if i > 0 {
			after = time.Duration(ev.At.Micros-events[i-1].At.Micros) * time.Microsecond
		}
		at := time.UnixMicro(ev.At.Micros).UTC().Format("15:04:05.000000")
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			at, after, ev.Host, ev.Part, ev.Name, ev.Request, ev.Workspace, ev.Upstream, ev.Detail)
	}
	if n := len(events); n > 1 {
		total := time.Duration(events[n-1].At.Micros-events[0].At.Micros) * time.Microsecond
		fmt.Fprintf(table, "total\t%s\n", total)
	}
	return table.Flush()
}
