package daemon

import (
	"context"
	"flag"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"

	"github.com/lacewingshift/lacewingshift/gateway"
	"github.com/lacewingshift/lacewingshift/logsink"
	"github.com/lacewingshift/lacewingshift/platform"
)

// memoryShare is the fraction of the memory limit that is set as the soft limit of the
// Go runtime. The rest is for memory that the runtime does not count, such as socket
// buffers.
const memoryShare = 0.7

// ServeCommand runs a router on the users' platform, with a settings file in the
// platform's format. That router is implemented by package gateway.
type ServeCommand struct {
	file    string
	metrics string
	level   string
}

// Name implements subcommands.Command.
func (*ServeCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*ServeCommand) Synopsis() string { return "run a router on the platform" }

// Usage implements subcommands.Command.
func (*ServeCommand) Usage() string {
	return "serve [-settings FILE] [-metrics ADDRESS] [-level LEVEL]: run a router on the platform until SIGTERM\n"
}

// SetFlags implements subcommands.Command.
func (c *ServeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", os.Getenv(platform.SettingsFileVariable), "settings file in the platform's format")
	f.StringVar(&c.metrics, "metrics", "", "address on which /metrics is served, such as :9464; not served if empty")
	f.StringVar(&c.level, "level", "info", "lowest level of log lines: debug, info, warn, error")
}

// Execute implements subcommands.Command.
func (c *ServeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sink := logsink.New(os.Stdout)
	sinkContext, stopSink := context.WithCancel(context.Background())
	// SIGHUP terminates a process that does not catch it. It is therefore caught from
	// the start, and also while the router stops.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	sinkDone := make(chan struct{})
	go func() {
		defer close(sinkDone)
		_ = sink.Run(sinkContext) // always returns nil
	}()
	defer func() {
		stopSink()
		<-sinkDone
	}()
	logger := newPlatformLogger(sink, c.level)
	// net/http reports upstreams that send bytes nobody asked for, and callers' broken
	// connections, through package log, which would write to standard error and block.
	stdlog.SetFlags(0)
	stdlog.SetOutput(logger.WithPrefix("http").StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}).Writer())
	s, err := platform.LoadSettings(c.file)
	if err != nil {
		logger.Error("cannot load settings", "file", c.file, "err", err)
		return subcommands.ExitFailure
	}
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimit)))
	}
	go c.checkSettingsOnSignal(hangups, logger)
	g, err := gateway.New(s, gateway.Options{MetricsAddress: c.metrics, AdmitLogLine: sink.Admit}, logger)
	if err != nil {
		logger.Error("router cannot start", "err", err)
		return subcommands.ExitFailure
	}
	if err := g.Run(ctx); err != nil {
		logger.Error("router failed", "err", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func newPlatformLogger(sink *logsink.Sink, level string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return log.NewWithOptions(sink, log.Options{
		Level: parsed, ReportTimestamp: true, TimeFormat: "15:04:05.000",
		Formatter: log.LogfmtFormatter,
	})
}

// checkSettingsOnSignal validates the settings file on each signal and logs the result.
// The settings of a running router do not change.
func (c *ServeCommand) checkSettingsOnSignal(signals <-chan os.Signal, logger *log.Logger) {
	for range signals {
		if _, err := platform.LoadSettings(c.file); err != nil {
			logger.Error("settings file is not valid, the router keeps its settings", "file", c.file, "err", err)
			continue
		}
		logger.Info("settings file is valid, changes take effect after a restart", "file", c.file)
	}
}

// checkPlatform checks a settings file in the platform's format.
func checkPlatform(file string) subcommands.ExitStatus {
	if _, err := platform.LoadSettings(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}
