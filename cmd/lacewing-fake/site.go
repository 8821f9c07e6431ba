package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// siteCommand runs fakes of the platform's store and runners, and writes the settings
// files of the routers.
type siteCommand struct {
	dir    string
	layout site.Layout
}

func (*siteCommand) Name() string     { return "site" }
func (*siteCommand) Synopsis() string { return "run the platform's store and runners" }
func (*siteCommand) Usage() string {
	return "site -dir DIR [-network A.B.C] [-routers N] [-engines N] [-plains N]\n" +
		"Writes the settings file of each router, DIR/router-N.yaml, and runs until SIGTERM.\n"
}

func (c *siteCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "", "`directory` to write")
	f.StringVar(&c.layout.Network, "network", "127.40.0", "first three `bytes` of the IP addresses")
	f.IntVar(&c.layout.Routers, "routers", 3, "`number` of routers")
	f.IntVar(&c.layout.Engines, "engines", 4, "`number` of model runners")
	f.IntVar(&c.layout.PlainRunners, "plains", 2, "`number` of plain runners")
}

func (c *siteCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.dir == "" {
		return subcommands.ExitUsageError
	}
	s, err := site.Start(c.layout)
	if err != nil {
		return exit(eris.Wrap(errServe, err.Error()))
	}
	defer s.Close()
	if err := s.Write(c.dir); err != nil {
		return exit(eris.Wrap(errSettings, err.Error()))
	}
	logger.Info("site runs", "store", s.Store.Address(), "runners", len(s.Runners), "routers", len(s.Routers))
	<-ctx.Done()
	return exit(nil)
}
