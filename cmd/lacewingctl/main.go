// Command lacewingctl is the command line tool for operators of the fleet.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/lacewingshift/lacewingshift/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
