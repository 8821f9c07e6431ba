package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/load"
)

var errFile = eris.New("cannot use file")

// summaryCommand prints a summary of several runs.
type summaryCommand struct{}

func (summaryCommand) Name() string { return "summary" }
func (summaryCommand) Synopsis() string {
	return "print the variation of each measurement over several runs"
}
func (summaryCommand) Usage() string          { return "summary FILE... (outputs of run)\n" }
func (summaryCommand) SetFlags(*flag.FlagSet) {}

func (summaryCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	groups, err := readGroups(f.Args())
	if err != nil {
		return exitError(err)
	}
	if err := load.PrintSummary(os.Stdout, groups); err != nil {
		return exitError(err)
	}
	return subcommands.ExitSuccess
}

// reportCommand writes an HTML report on several runs.
type reportCommand struct{ out string }

func (*reportCommand) Name() string     { return "report" }
func (*reportCommand) Synopsis() string { return "write an HTML report on several runs" }
func (*reportCommand) Usage() string    { return "report -out report.html FILE... (outputs of run)\n" }

func (c *reportCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", "report.html", "`file` to write")
}

func (c *reportCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	groups, err := readGroups(f.Args())
	if err != nil {
		return exitError(err)
	}
	if err := writeReport(c.out, groups); err != nil {
		return exitError(err)
	}
	return subcommands.ExitSuccess
}

func writeReport(path string, groups []load.Group) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(errFile, err.Error())
	}
	if err := load.WriteReport(file, groups); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return eris.Wrap(errFile, err.Error())
	}
	return nil
}

// readGroups reads the results in the files and groups them.
func readGroups(paths []string) ([]load.Group, error) {
	var results []load.Result
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, eris.Wrap(errFile, err.Error())
		}
		found, err := load.ReadResults(file)
		_ = file.Close()
		if err != nil {
			return nil, eris.Wrap(err, path)
		}
		results = append(results, found...)
	}
	if len(results) == 0 {
		return nil, load.ErrNoResult
	}
	return load.Summarize(results), nil
}
