package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lacewingshift/lacewingshift/admin"
	"github.com/lacewingshift/lacewingshift/config"
)

func (e *env) configGroup() *command {
	return e.group("config", "Read and change the lists of workspaces and plans",
		e.checkCommand(), e.applyCommand(), e.getCommand(), e.historyCommand(), e.configStatusCommand())
}

// readLists reads and validates a file with lists. It needs no router to find faults.
func readLists(args []string) (config.Lists, error) {
	if len(args) != 1 {
		return config.Lists{}, usagef("expected one argument, the file with the lists")
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return config.Lists{}, usagef("cannot read the lists: %v", err)
	}
	lists, err := config.Parse(data)
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		return config.Lists{}, failuref("%s is not valid%s", args[0], faultLines(invalid.Faults))
	}
	return lists, err
}

func (e *env) checkCommand() *command {
	return &command{env: e, name: "check", args: "FILE", synopsis: "Check lists without applying them",
		run: func(_ context.Context, args []string) error {
			lists, err := readLists(args)
			if err == nil {
				fmt.Fprintf(e.out, "valid: %d workspaces, %d plans\n", len(lists.Workspaces), len(lists.Plans))
			}
			return err
		}}
}

func (e *env) applyCommand() *command {
	base := int64(-1)
	return &command{env: e, name: "apply", args: "-base VERSION FILE", synopsis: "Replace the lists",
		flags: func(f *flag.FlagSet) {
			f.Int64Var(&base, "base", -1, "`version` that the change is based on, 0 if there are no lists yet")
		},
		run: func(ctx context.Context, args []string) error {
			if base < 0 {
				return usagef("-base must be the version that the change is based on, as printed by config get")
			}
			lists, err := readLists(args)
			if err != nil {
				return err
			}
			return e.apply(ctx, lists, base)
		}}
}

func (e *env) apply(ctx context.Context, lists config.Lists, base int64) error {
	a, err := e.call(ctx, request{
		method: "PUT", path: "/v1/config", body: lists.Encode(),
		header: map[string]string{"If-Match": fmt.Sprintf(`"%d"`, base), "Content-Type": "application/json"},
	})
	if err == nil {
		fmt.Fprintf(e.out, "applied as version %s\n", strings.Trim(a.etag, `"`))
	}
	return err
}

func (e *env) getCommand() *command {
	var version int64
	return &command{env: e, name: "get", args: "[-version VERSION]", synopsis: "Print the lists",
		flags: func(f *flag.FlagSet) {
			f.Int64Var(&version, "version", 0, "`version` to print, 0 for the current one")
		},
		run: func(ctx context.Context, _ []string) error {
			path := "/v1/config"
			if version != 0 {
				path = fmt.Sprintf("/v1/config/history/%d", version)
			}
			a, err := e.call(ctx, request{method: "GET", path: path})
			if err != nil {
				return err
			}
			if a.etag != "" {
				fmt.Fprintf(e.err, "version %s\n", strings.Trim(a.etag, `"`))
			}
			_, err = e.out.Write(a.body)
			return err
		}}
}

func (e *env) historyCommand() *command {
	return &command{env: e, name: "history", synopsis: "List the latest changes",
		run: func(ctx context.Context, _ []string) error {
			var history struct{ Changes []config.Change }
			if err := e.getJSON(ctx, "/v1/config/history", &history); err != nil {
				return err
			}
			table := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "VERSION\tTIME\tAUTHOR\tDIGEST")
			for _, c := range history.Changes {
				fmt.Fprintf(table, "%d\t%s\t%s\t%.12s\n", c.Version, c.Time.Format(time.RFC3339), c.Author, c.Digest)
			}
			return table.Flush()
		}}
}

func (e *env) configStatusCommand() *command {
	return &command{env: e, name: "status", synopsis: "Print on how many live routers each version is in force",
		run: func(ctx context.Context, _ []string) error {
			var status admin.ConfigStatus
			if err := e.getJSON(ctx, "/v1/config/status", &status); err != nil {
				return err
			}
			for _, v := range status.Versions {
				fmt.Fprintf(e.out, "version %d: %d of %d routers\n", v.Version, v.Routers, status.Live)
			}
			if len(status.Lagging) > 0 {
				fmt.Fprintf(e.out, "lagging: %s\n", strings.Join(status.Lagging, ", "))
			}
			return nil
		}}
}

func (e *env) getJSON(ctx context.Context, path string, into any) error {
	a, err := e.call(ctx, request{method: "GET", path: path})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return failuref("cannot decode the router's answer: %v", err)
	}
	return nil
}
