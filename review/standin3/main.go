// Command standin3 plays the cases of the third review that are scripts: it starts the
// platform's store, runners and callers as stand-ins on loopback addresses, and routers as
// separate processes.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// cases holds what plays each case, by name.
var cases = map[string]func(d *deployment) (bool, error){
	"leave-alone": leaveAlone,
	"odd-entry":   oddEntry,
}

func main() {
	router := flag.String("router", "target/lacewingd", "program of the router")
	record := flag.String("record", "record.txt", "file that receives what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(flag.Arg(0), *router, *record, *trouble))
}

func play(name, router, record string, trouble bool) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "case %q is not known\n", name)
		return failed
	}
	d, err := newDeployment(router, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer d.close()
	go d.closeOnSignal()
	ruleHeld, err := run(d)
	switch {
	case err != nil:
		d.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case !ruleHeld:
		d.note("result: the rule was broken")
		return broken
	}
	d.note("result: the rule was kept")
	return held
}
