// Package daemon implements the subcommands of lacewingd.
package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"

	"github.com/lacewingshift/lacewingshift/router"
	"github.com/lacewingshift/lacewingshift/settings"
)

// RunCommand runs a router of package router until it is told to stop.
type RunCommand struct {
	file string
}

// Name implements subcommands.Command.
func (*RunCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*RunCommand) Synopsis() string { return "run a router" }

// Usage implements subcommands.Command.
func (*RunCommand) Usage() string { return "run -settings FILE: run a router until SIGTERM\n" }

// SetFlags implements subcommands.Command.
func (c *RunCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings file in JSON")
}

// Execute implements subcommands.Command.
func (c *RunCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, status := load(c.file)
	if status != subcommands.ExitSuccess {
		return status
	}
	logger := newLogger(s.Log.Level)
	r, err := router.New(s, logger)
	if err != nil {
		logger.Error("router cannot start", "err", err.Error())
		return subcommands.ExitFailure
	}
	if err := r.Run(ctx); err != nil {
		logger.Error("router failed", "err", err.Error())
		return subcommands.ExitFailure
	}
	logger.Info("router stopped")
	return subcommands.ExitSuccess
}

func newLogger(level string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return log.NewWithOptions(os.Stderr, log.Options{
		Level: parsed, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Formatter: log.LogfmtFormatter,
	})
}

// CheckCommand checks a settings file or a configuration file without starting anything.
type CheckCommand struct {
	file     string
	platform string // settings file in the platform's format, checked instead of file
	config   string // configuration file in the platform's format, checked instead of file
}

// Name implements subcommands.Command.
func (*CheckCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*CheckCommand) Synopsis() string { return "check a settings or configuration file" }

// Usage implements subcommands.Command.
func (*CheckCommand) Usage() string {
	return "check -settings FILE | -platform FILE | -config FILE [-platform FILE]: print every fault of the file\n"
}

// SetFlags implements subcommands.Command.
func (c *CheckCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings file in JSON")
	f.StringVar(&c.platform, "platform", "", "settings file in the platform's format, instead of -settings")
	f.StringVar(&c.config, "config", "", "configuration file in the platform's format (the spec of config/main), instead of -settings; with -platform, its regions are checked against the data centres of those settings")
}

// Execute implements subcommands.Command.
func (c *CheckCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.config != "" {
		return checkConfig(c.config, c.platform)
	}
	if c.platform != "" {
		return checkPlatform(c.platform)
	}
	s, status := load(c.file)
	if status != subcommands.ExitSuccess {
		return status
	}
	if _, err := s.Identity(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if _, err := s.ResumeSecret(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}

func load(file string) (settings.Settings, subcommands.ExitStatus) {
	if file == "" {
		fmt.Fprintln(os.Stderr, "the flag -settings FILE is required")
		return settings.Settings{}, subcommands.ExitUsageError
	}
	s, err := settings.Load(file)
	var invalid *settings.InvalidError
	switch {
	case errors.As(err, &invalid):
		fmt.Fprintf(os.Stderr, "%s has %d faults:\n", file, len(invalid.Faults))
		for _, fault := range invalid.Faults {
			fmt.Fprintln(os.Stderr, "  "+fault.String())
		}
		return s, subcommands.ExitFailure
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return s, subcommands.ExitFailure
	}
	return s, subcommands.ExitSuccess
}
