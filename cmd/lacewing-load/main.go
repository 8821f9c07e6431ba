// Command lacewing-load sends a mixed workload to a deployment, checks every answer,
// and reports measurements such as latency and fairness.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(newRunCommand(), "")
	subcommands.Register(summaryCommand{}, "")
	subcommands.Register(&reportCommand{}, "")
	subcommands.Register(&siteCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
