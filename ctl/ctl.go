// Package ctl implements lacewingctl, the command line tool for operators.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// Exit codes other than 0.
const (
	exitFailure     = int(subcommands.ExitFailure)
	exitUsage       = int(subcommands.ExitUsageError)
	exitUnreachable = 3
)

// exitError ends a command with an exit code and an error message.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string { return e.message }

// failuref returns an error for a command that failed or was rejected by the router.
func failuref(format string, args ...any) error {
	return &exitError{exitFailure, fmt.Sprintf(format, args...)}
}

// usagef returns an error for wrong flags or arguments.
func usagef(format string, args ...any) error {
	return &exitError{exitUsage, fmt.Sprintf(format, args...)}
}

// env holds the outputs and global flags that all commands share.
type env struct {
	out, err io.Writer
	admin    string
	keyFile  string
}

// command implements subcommands.Command with functions.
type command struct {
	env      *env
	name     string
	synopsis string
	args     string
	flags    func(f *flag.FlagSet)
	run      func(ctx context.Context, args []string) error
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }
func (c *command) Usage() string {
	return fmt.Sprintf("%s %s\n  %s.\n", c.name, c.args, c.synopsis)
}

func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.env.err)
	if c.flags != nil {
		c.flags(f)
	}
}

func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return subcommands.ExitStatus(c.env.report(c.run(ctx, f.Args())))
}

// report prints an error and returns the exit code.
func (e *env) report(err error) int {
	var exit *exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		if exit.message != "" {
			fmt.Fprintln(e.err, "lacewingctl: "+exit.message)
		}
		return exit.code
	default:
		fmt.Fprintln(e.err, "lacewingctl: "+err.Error())
		return exitFailure
	}
}

// group returns a command that has subcommands.
func (e *env) group(name, synopsis string, commands ...*command) *command {
	return &command{env: e, name: name, synopsis: synopsis, args: "COMMAND", run: func(ctx context.Context, args []string) error {
		flags := flag.NewFlagSet(name, flag.ContinueOnError)
		return e.execute(ctx, flags, "lacewingctl "+name, args, commands)
	}}
}

// execute runs the command that args select.
func (e *env) execute(ctx context.Context, flags *flag.FlagSet, name string, args []string, commands []*command) error {
	commander := subcommands.NewCommander(flags, name)
	commander.Output, commander.Error = e.out, e.err
	flags.SetOutput(e.err)
	commander.Register(commander.HelpCommand(), "")
	for _, c := range commands {
		commander.Register(c, "")
	}
	if err := flags.Parse(args); err != nil {
		return &exitError{code: exitUsage} // the flag package has printed the error
	}
	if code := int(commander.Execute(ctx)); code != 0 {
		return &exitError{code: code} // the command has printed the error
	}
	return nil
}

// Main runs lacewingctl and returns the exit code: 0 on success, 1 if the command
// failed or was rejected, 2 for wrong flags or arguments, 3 if no router was reachable.
func Main(ctx context.Context, args []string, out, err io.Writer) int {
	e := &env{out: out, err: err}
	flags := flag.NewFlagSet("lacewingctl", flag.ContinueOnError)
	flags.StringVar(&e.admin, "admin", "127.0.0.1:8082", "`addresses` of the administration API, separated by commas and tried in order")
	flags.StringVar(&e.keyFile, "key-file", "", "`file` that contains the operator key")
	return e.report(e.execute(ctx, flags, "lacewingctl", args, []*command{
		e.configGroup(), e.statusCommand(), e.timelineCommand(), e.drainCommand(), e.keysGroup(),
	}))
}
