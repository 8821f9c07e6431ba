package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/fake/deployment"
	"github.com/lacewingshift/lacewingshift/load"
	"github.com/lacewingshift/lacewingshift/ticket"
)

var errDescription = eris.New("cannot use deployment description")

var logger = log.NewWithOptions(os.Stderr, log.Options{Prefix: "load", ReportTimestamp: true})

// runCommand sends the workload to a deployment and prints the result.
type runCommand struct {
	deployment string
	label      string
	settings   load.Settings
}

func newRunCommand() *runCommand { return &runCommand{settings: load.DefaultSettings()} }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "send the workload and print the measurements" }
func (*runCommand) Usage() string {
	return "run -deployment DIR/load.json [flags]\n" +
		"The last line of the output is the result as JSON. The exit status is 1 when a\n" +
		"promise was broken, and 2 when the workload could not be run.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	s := &c.settings
	f.StringVar(&c.deployment, "deployment", "load.json", "description `file` of the deployment")
	f.StringVar(&c.label, "label", "", "`name` of the run in reports")
	f.Uint64Var(&s.Seed, "seed", s.Seed, "`seed` of the workload")
	f.DurationVar(&s.Duration, "duration", s.Duration, "`time` during which requests are sent")
	f.DurationVar(&s.Grace, "grace", s.Grace, "`time` to wait for outstanding answers afterwards")
	f.IntVar(&s.MaxRequests, "requests", s.MaxRequests, "largest `number` of requests")
	f.Float64Var(&s.NormalLoad, "load", s.NormalLoad, "engine work of normal workspaces, as a `fraction` of the capacity")
	f.Float64Var(&s.BacklogLoad, "backlog", s.BacklogLoad, "engine work of backlogged workspaces, as a `fraction` of the capacity")
	f.Float64Var(&s.FloodLoad, "flood", s.FloodLoad, "engine work of the flooding workspace, as a `fraction` of the capacity")
	f.Float64Var(&s.Swing, "swing", s.Swing, "`ratio` of the highest to the lowest demand")
	f.DurationVar(&s.Period, "period", s.Period, "`time` between two peaks of the demand")
	f.BoolVar(&s.NoLong, "no-long", s.NoLong, "leave out the long requests of normal workspaces")
	f.IntVar(&s.SlowRunners, "slow-runners", s.SlowRunners, "`number` of runners slowed in the second half")
	f.Float64Var(&s.SlowFactor, "slow-factor", s.SlowFactor, "slowdown `factor`")
	f.DurationVar(&s.Bound.Age, "bound-age", s.Bound.Age, "fairness bound: `age` of a summary")
	unitsVar(f, &s.Bound.Window, "bound-window", "fairness bound: window in `milli-units`")
	unitsVar(f, &s.Bound.Exchange, "bound-exchange", "fairness bound: exchange threshold in `milli-units`")
	unitsVar(f, &s.Bound.Work, "bound-work", "fairness bound: largest uncharged work in `milli-units`")
}

func unitsVar(f *flag.FlagSet, value *ticket.Units, name, usage string) {
	f.Int64Var((*int64)(value), name, int64(*value), usage)
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	description, err := readDescription(c.deployment)
	if err != nil {
		return exitError(err)
	}
	result, err := load.Run(ctx, c.settings, description)
	if err != nil {
		return exitError(err)
	}
	result.Label = c.label
	if err := result.Print(os.Stdout); err != nil {
		return exitError(err)
	}
	if !result.OK {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func readDescription(path string) (deployment.Description, error) {
	var description deployment.Description
	data, err := os.ReadFile(path)
	if err != nil {
		return description, eris.Wrap(errDescription, err.Error())
	}
	if err := json.Unmarshal(data, &description); err != nil {
		return description, eris.Wrapf(errDescription, "%s: %v", path, err)
	}
	return description, nil
}

// exitError logs an error that prevented the command and returns the exit status.
func exitError(err error) subcommands.ExitStatus {
	logger.Error("command failed", "error", err.Error())
	return subcommands.ExitUsageError
}
