package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// siteCommand sends requests to routers that run on the fake platform of lacewing-fake.
type siteCommand struct {
	dir       string
	seed      uint64
	duration  time.Duration
	patience  time.Duration
	pause     time.Duration
	callers   int
	padding   int
	only      string
	reconnect bool
}

func (*siteCommand) Name() string     { return "site" }
func (*siteCommand) Synopsis() string { return "send requests to routers on the fake platform" }
func (*siteCommand) Usage() string {
	return "site -dir DIR [flags]\n" +
		"Prints the number of answers, their times and broken answers. The exit status is 1\n" +
		"when an answer was wrong or cut off, and 2 when the command could not be run.\n"
}

func (c *siteCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "", "`directory` that lacewing-fake site wrote")
	f.Uint64Var(&c.seed, "seed", 1, "`seed` of the callers")
	f.DurationVar(&c.duration, "duration", 10*time.Second, "`time` during which requests are sent")
	f.DurationVar(&c.patience, "patience", 2*time.Second, "`time` after which a caller gives up")
	f.DurationVar(&c.pause, "pause", 20*time.Millisecond, "`time` between an answer and the caller's next request")
	f.IntVar(&c.callers, "callers", 20, "`number` of callers")
	f.IntVar(&c.padding, "body", 1000, "`bytes` of a request's body")
	f.StringVar(&c.only, "only", "", "`address` to send all requests to, instead of the addresses that the routers list")
	f.BoolVar(&c.reconnect, "reconnect", false, "make a new connection for each request")
}

func (c *siteCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	routers, err := site.ReadRouters(c.dir)
	if err != nil {
		return exitError(eris.Wrap(errDescription, err.Error()))
	}
	outcomes := c.run(ctx, routers)
	broken := 0
	for _, o := range outcomes {
		if o.Status == 200 && !(o.Complete && o.Sealed) {
			broken++
		}
	}
	if err := c.print(outcomes, broken); err != nil {
		return exitError(err)
	}
	if broken > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run lets the callers send requests for the duration and returns the outcomes.
func (c *siteCommand) run(ctx context.Context, routers []site.Router) []site.Outcome {
	ctx, stop := context.WithTimeout(ctx, c.duration)
	defer stop()
	var (
		mu       sync.Mutex
		outcomes []site.Outcome
		group    sync.WaitGroup
	)
	for i := range c.callers {
		group.Go(func() {
			caller := &site.Caller{
				Name: fmt.Sprint("load-", i), Routers: routers, Timeout: c.patience, Padding: c.padding,
				Rand: rand.New(rand.NewPCG(c.seed, uint64(i))), FixedAddress: c.only, Reconnect: c.reconnect,
			}
			defer caller.Close()
			for n := 0; ctx.Err() == nil; n++ {
				// A request in progress is completed even after the duration is over.
				o := caller.Send(context.WithoutCancel(ctx), site.Paths[n%len(site.Paths)])
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				time.Sleep(c.pause)
			}
		})
	}
	group.Wait()
	return outcomes
}

func (c *siteCommand) print(outcomes []site.Outcome, broken int) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "path\tstatus\tanswers\tmedian ms\tp95 ms")
	for _, path := range site.Paths {
		times := map[int][]time.Duration{}
		for _, o := range outcomes {
			if o.Path == path {
				times[o.Status] = append(times[o.Status], o.Ended.Sub(o.Sent))
			}
		}
		statuses := make([]int, 0, len(times))
		for status := range times {
			statuses = append(statuses, status)
		}
		slices.Sort(statuses)
		for _, status := range statuses {
			t := times[status]
			slices.Sort(t)
			fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.1f\n", path, status, len(t), millis(t[len(t)/2]), millis(t[len(t)*95/100]))
		}
	}
	fmt.Fprintf(table, "all\t\t%d\tbroken %d\t%.0f a second\n", len(outcomes), broken, float64(len(outcomes))/c.duration.Seconds())
	return table.Flush()
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
