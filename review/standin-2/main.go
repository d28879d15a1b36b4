// Command standin-2 runs one case of the second review: it starts the project's
// programs as separate processes on loopback addresses, with small stand-ins for
// the runners, the clients and the operator, and checks one rule.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// limit bounds a case. The daemons end with it.
const limit = 110 * time.Second

// cases maps the names of the cases to their functions. Each returns a description
// of what broke the rule, or "".
var cases = map[string]func(*world) (string, error){
	"unasked": caseUnasked,
	"route":   caseRoute,
	"starved": caseStarved,
	"twice":   caseTwice,
	"orders":  caseOrders,

	// Trials without a case of their own.
	"lost": trialLost,
	"idle": trialIdle,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE DAEMON RECORD; TROUBLE=0 leaves out the disruption")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, daemon, recordPath string) int {
	w, err := newWorld(daemon, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	defer w.close()
	time.AfterFunc(limit, func() {
		w.record("the case took too long")
		w.close()
		os.Exit(2)
	})
	broken, err := cases[name](w)
	switch {
	case err != nil:
		w.record("could not run: %v", err)
		return 2
	case broken != "":
		w.record("BROKEN: %s", broken)
		return 1
	default:
		w.record("held")
		return 0
	}
}
