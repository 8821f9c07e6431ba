// Command lacewing-fake runs fakes of the systems around the fleet, such as model
// engines and the platform, and writes the settings files of a deployment on loopback
// addresses.
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
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&engineCommand{}, "")
	subcommands.Register(&plainCommand{}, "")
	subcommands.Register(&linksCommand{}, "")
	subcommands.Register(&deploymentCommand{}, "")
	subcommands.Register(&siteCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
