package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// play is one case. It returns how often the rule was broken and how often it was tried.
type play struct {
	modelFlags []string
	run        func(d *deployment, trouble bool) (broken, tried int)
}

var cases = map[string]play{
	"resumed-unframed": {
		modelFlags: []string{"-framing", "resumed-none", "-prefill", "400ms"},
		run:        resumedUnframed,
	},
	"encoded-slash": {
		run: encodedSlash,
	},
	"grey-503": {
		run: grey503,
	},
	"carriage-returns": {
		modelFlags: []string{"-eol", "cr", "-comments", "-prefill", "100ms"},
		run:        carriageReturns,
	},
}

// runCase plays a case and returns the exit status: 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
func runCase(p play, file string, trouble bool) int {
	record, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	d, err := start(record, p.modelFlags)
	if d != nil {
		defer d.close()
		go func() {
			<-interrupts
			d.close()
			os.Exit(2)
		}()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	time.Sleep(time.Second)
	d.note("trouble: %t", trouble)
	stop, ended := make(chan struct{}), make(chan int)
	go func() { ended <- d.background(stop) }()
	broken, tried := p.run(d, trouble)
	close(stop)
	d.note("%d other requests were answered", <-ended)
	d.note("rule broken %d times in %d", broken, tried)
	fmt.Printf("rule broken %d times in %d\n", broken, tried)
	switch {
	case broken > 0:
		return 1
	case tried == 0 || !trouble && d.unserved > 0:
		d.note("%d requests were not served", d.unserved)
		return 2
	}
	return 0
}

// expect counts a request that was not served as it has to be without a disruption.
func (d *deployment) expect(served bool) {
	if !served {
		d.unserved++
	}
}

const rounds = 8

// whoRuns returns the runner at which a request begins to run, nil if none does in time.
func (d *deployment) whoRuns(id string, timeout time.Duration) *runnerProcess {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, r := range d.runners {
			select {
			case begun := <-r.begun:
				if begun == id {
					return r
				}
			default:
			}
		}
	}
	return nil
}

// crashAndReturn kills a runner and starts it again a second later.
func (d *deployment) crashAndReturn(r *runnerProcess) {
	r.kill()
	d.startAgain(r)
}

func (d *deployment) startAgain(r *runnerProcess) {
	time.Sleep(time.Second)
	if err := r.start(); err != nil {
		d.note("%s cannot start again: %v", r.id, err)
	}
}

// resumedUnframed: a stream is resumed, and the runner, whose answer has no length and no
// chunks, crashes while it reads the prompt. In every other round the caller resumes the
// stream, after its own connection broke, and otherwise the router, after another runner
// has crashed in the middle of it.
func resumedUnframed(d *deployment, trouble bool) (broken, tried int) {
	for round := range rounds {
		byCaller := round%2 == 0
		var a answer
		var id string
		sent := 0
		if byCaller {
			id, sent = fmt.Sprintf("b%d", round), 5
			a = d.resumedByCaller(round, id, trouble)
		} else {
			id = fmt.Sprintf("a%d", round)
			a = d.resumedByRouter(round, id, trouble)
		}
		tried++
		d.expect(a.whole && len(a.pieces) == streamEvents-sent)
		if a.status == 200 && a.whole && len(a.pieces) < streamEvents-sent {
			broken++
			d.note("BROKEN: the answer to %s ended as complete with %d of %d events", id, len(a.pieces), streamEvents-sent)
		}
		time.Sleep(time.Second)
	}
	return broken, tried
}

// resumedByCaller returns the answer to a request that resumes a stream after five events.
func (d *deployment) resumedByCaller(round int, id string, trouble bool) answer {
	d.ask(1+round%routers, fmt.Sprintf("a%d", round), 0, 5)
	got := make(chan answer, 1)
	go func() { got <- d.ask(1+(round+1)%routers, id, 5, 0) }()
	r := d.whoRuns(id, 2*time.Second)
	if trouble && r != nil {
		time.Sleep(100 * time.Millisecond)
		d.crashAndReturn(r)
	}
	return <-got
}

// resumedByRouter returns the answer to a request whose first runner crashes after some
// events, and whose second one crashes before its first event.
func (d *deployment) resumedByRouter(round int, id string, trouble bool) answer {
	got := make(chan answer, 1)
	go func() { got <- d.ask(1+round%routers, id, 0, 0) }()
	first := d.whoRuns(id, 2*time.Second)
	if !trouble || first == nil {
		return <-got
	}
	time.Sleep(600 * time.Millisecond)
	first.kill()
	if second := d.whoRuns(id, time.Second); second != nil {
		time.Sleep(100 * time.Millisecond)
		second.kill()
		defer d.startAgain(second)
	}
	defer d.startAgain(first)
	return <-got
}

// carriageReturns: a runner, whose lines end with carriage returns, crashes in the middle of
// a stream.
func carriageReturns(d *deployment, trouble bool) (broken, tried int) {
	for round := range rounds {
		id := fmt.Sprintf("a%d", round)
		got := make(chan answer, 1)
		go func() { got <- d.ask(1+round%routers, id, 0, 0) }()
		r := d.whoRuns(id, 2*time.Second)
		if trouble && r != nil {
			time.Sleep(350 * time.Millisecond)
			d.crashAndReturn(r)
		}
		a := <-got
		tried++
		d.expect(a.whole && len(a.pieces) == streamEvents)
		for i, piece := range a.pieces {
			if piece != strconv.Itoa(i+1) {
				broken++
				d.note("BROKEN: event %d of the answer to %s is piece %s", i+1, id, piece)
				break
			}
		}
		time.Sleep(time.Second)
	}
	return broken, tried
}

// encodedSlash: an application server crashes while it runs a request that may run once. In
// every other round the path has an encoded slash, which makes it begin like the prefix of
// another route once it is decoded.
func encodedSlash(d *deployment, trouble bool) (broken, tried int) {
	for round := range rounds {
		path := fmt.Sprintf("/book/status%%2F%d", round)
		if round%2 == 1 {
			path = fmt.Sprintf("/book/status-%d", round)
		}
		id := fmt.Sprintf("p%d", round)
		ended := make(chan int, 1)
		go func() { ended <- d.post(1+round%routers, id, path) }()
		first := d.whoRuns(id, 2*time.Second)
		if first == nil {
			<-ended
			continue
		}
		if trouble {
			time.Sleep(60 * time.Millisecond)
			first.kill()
		}
		second := d.whoRuns(id, 2*time.Second)
		d.expect(<-ended == 200)
		tried++
		if second != nil {
			broken++
			d.note("BROKEN: %s ran at %s and again at %s", id, first.id, second.id)
		}
		if trouble {
			d.startAgain(first)
		}
	}
	return broken, tried
}

const (
	// greyTime is how long a runner is grey, and greyCallers the number of callers that send
	// requests meanwhile.
	greyTime    = 6 * time.Second
	greyCallers = 8
)

// grey503: an application server is grey. It runs requests that may run once and answers a
// part of them with a 503 that does not say that the request was not executed.
func grey503(d *deployment, trouble bool) (broken, tried int) {
	grey := d.runners[modelRunners]
	if trouble {
		grey.setGrey(true)
	}
	statuses := map[string]int{}
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(greyTime)
	for caller := range greyCallers {
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("g%d-%d", caller, i)
				status := d.post(1+(caller+i)%routers, id, "/book/charge-"+id)
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	if trouble {
		grey.setGrey(false)
	}
	time.Sleep(200 * time.Millisecond)
	for _, r := range d.runners {
		for len(r.begun) > 0 {
			id := <-r.begun
			status, posted := statuses[id]
			if posted {
				tried++
				d.expect(status == 200)
			}
			if status == 503 || status == 429 || status == 408 || status == 421 {
				broken++
				d.note("BROKEN: %s was answered %d and ran at %s", id, status, r.id)
			}
		}
	}
	return broken, tried
}
