package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/lacewingshift/lacewingshift/capacity"
)

// capacityCommand measures the resource use of each role of a router.
type capacityCommand struct{ seed uint64 }

func init() { subcommands.Register(&capacityCommand{}, "") }

func (*capacityCommand) Name() string     { return "capacity" }
func (*capacityCommand) Synopsis() string { return "measure the cost of each role at the target scale" }
func (*capacityCommand) Usage() string {
	return "capacity [-seed N]\nThe last line of the output is the result as JSON.\n"
}

func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "`seed` of the simulations")
}

func (c *capacityCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	settings := capacity.DefaultSettings()
	settings.Seed = c.seed
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return exitError(err)
	}
	defer os.RemoveAll(dir)
	settings.Dir = dir
	result, err := capacity.Measure(settings)
	if err != nil {
		return exitError(err)
	}
	if err := result.Print(os.Stdout); err != nil {
		return exitError(err)
	}
	return subcommands.ExitSuccess
}
