package main

import (
	"context"
	"flag"
	"net/http"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/fake/deployment"
	"github.com/lacewingshift/lacewingshift/objectapi"
)

// platformCommand runs the fake object API and host list.
type platformCommand struct{ config string }

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run the object API and the host list" }
func (*platformCommand) Usage() string    { return "platform -config platform.json\n" }

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "platform.json", "settings `file`")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var settings deployment.PlatformSettings
	if err := readSettings(c.config, &settings); err != nil {
		return exit(err)
	}
	var hosts []objectapi.Host
	if err := readSettings(settings.HostsFile, &hosts); err != nil {
		return exit(err)
	}
	lag := time.Duration(settings.HostsLagMillis * float64(time.Millisecond))
	return exit(serve(ctx,
		server{settings.ObjectsListen, fake.NewObjects(settings.Seed)},
		server{settings.HostsListen, fake.NewHosts(hosts, lag)},
	))
}

// engineCommand runs fake model engines.
type engineCommand struct{ config, id string }

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run model engines" }
func (*engineCommand) Usage() string    { return "engine -config engines.json [-id ID]\n" }

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "engines.json", "settings `file`, a list of engines")
	f.StringVar(&c.id, "id", "", "`id` of the only engine to run; if empty, all run")
}

func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var settings []fake.EngineSettings
	if err := readSettings(c.config, &settings); err != nil {
		return exit(err)
	}
	var servers []server
	for _, s := range settings {
		if c.id == "" || c.id == s.ID {
			servers = append(servers, server{s.Listen, fake.NewEngine(s)})
		}
	}
	return serveSelected(ctx, c.id, servers)
}

// plainCommand runs fake plain services.
type plainCommand struct{ config, id string }

func (*plainCommand) Name() string     { return "plain" }
func (*plainCommand) Synopsis() string { return "run plain services" }
func (*plainCommand) Usage() string    { return "plain -config plains.json [-id ID]\n" }

func (c *plainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "plains.json", "settings `file`, a list of plain services")
	f.StringVar(&c.id, "id", "", "`id` of the only service to run; if empty, all run")
}

func (c *plainCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var settings []fake.PlainSettings
	if err := readSettings(c.config, &settings); err != nil {
		return exit(err)
	}
	var servers []server
	for _, s := range settings {
		if c.id == "" || c.id == s.ID {
			servers = append(servers, server{s.Listen, fake.NewPlain(s)})
		}
	}
	return serveSelected(ctx, c.id, servers)
}

// serveSelected runs the servers, or fails if no server has the requested id.
func serveSelected(ctx context.Context, id string, servers []server) subcommands.ExitStatus {
	if len(servers) == 0 {
		return exit(eris.Wrapf(errSettings, "no entry with id %q", id))
	}
	return exit(serve(ctx, servers...))
}

// linksCommand runs the relay that simulates the network between the hosts.
type linksCommand struct{ config string }

func (*linksCommand) Name() string { return "links" }
func (*linksCommand) Synopsis() string {
	return "run the relay that adds latency and cuts links between hosts"
}
func (*linksCommand) Usage() string { return "links -config links.json\n" }

func (c *linksCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "links.json", "settings `file`")
}

func (c *linksCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var settings fake.LinksSettings
	if err := readSettings(c.config, &settings); err != nil {
		return exit(err)
	}
	links := fake.NewLinks(settings)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() { cancel(links.Run(ctx)) }()
	if err := serve(ctx, server{settings.Control, http.Handler(links)}); err != nil {
		return exit(err)
	}
	if cause := context.Cause(ctx); eris.Is(cause, fake.ErrListen) {
		return exit(cause)
	}
	return exit(nil)
}

// deploymentCommand writes the settings files of a deployment.
type deploymentCommand struct {
	name, dir string
	options   deployment.Options
}

func (*deploymentCommand) Name() string     { return "deployment" }
func (*deploymentCommand) Synopsis() string { return "write the files of a whole deployment" }
func (*deploymentCommand) Usage() string {
	return "deployment -name piedmont|solas -dir DIR [-direct] [-network N] [-policy POLICY] [-slow-spells]\n"
}

func (c *deploymentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.name, "name", "piedmont", "deployment `name`: piedmont or solas")
	f.StringVar(&c.dir, "dir", "", "`directory` to write")
	f.BoolVar(&c.options.Direct, "direct", false, "connect the hosts directly, without the relay")
	f.IntVar(&c.options.Network, "network", 0, "second `byte` of the addresses (127.N.x.y), by default 10 for piedmont and 20 for solas")
	f.BoolVar(&c.options.SlowSpells, "slow-spells", false, "let engines slow down briefly at random")
	f.StringVar(&c.options.Policy, "policy", "", "scheduling `policy` of the routers")
}

func (c *deploymentCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.dir == "" {
		return subcommands.ExitUsageError
	}
	plan, err := deployment.FindPlan(c.name, c.options)
	if err != nil {
		return exit(err)
	}
	return exit(plan.Write(c.dir))
}
