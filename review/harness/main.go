//go:build review

// Command harness runs the cases of the review that are scripts. Each case starts routers
// as separate processes on loopback addresses, with stand-ins of the store, the runners
// and the clients in this process.
//
// Usage: harness CASE FOLDER. It writes FOLDER/record.txt and exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment
// the disruption is left out.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(*bench) (int, error){
	"cut-answers":     cutAnswers,
	"changed-path":    changedPath,
	"returned-runner": returnedRunner,
	"grown-fleet":     grownFleet,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(cannotRun)
	}
	b, err := newBench(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	code, err := cases[os.Args[1]](b)
	if err != nil {
		b.note("the case could not run: %v", err)
		code = cannotRun
	}
	b.close()
	os.Exit(code)
}
