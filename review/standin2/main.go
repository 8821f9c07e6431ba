// Command standin2 plays the cases review/6 and later: it starts stand-ins of the platform
// and the routers as separate processes, sends requests and checks what callers receive.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin2 runner|CASE ...")
		os.Exit(2)
	}
	if os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	play, known := cases[os.Args[1]]
	if !known || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD-FILE")
		os.Exit(2)
	}
	os.Exit(runCase(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}
