// Command standin plays one case of the review: it starts a small deployment on
// loopback addresses with stand-ins for its runners, clients and operator, and
// checks one rule by what they have seen. It exits with 1 if the rule was broken,
// 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

// run is what a case needs.
type run struct {
	*Fleet
	trouble bool
}

// testCase plays a case and returns what has broken the rule, or "".
type testCase struct {
	runners  int
	cpuMilli int64
	play     func(*run) (string, error)
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, path string) int {
	c, found := cases[name]
	if !found {
		fmt.Println("unknown case", name)
		return 2
	}
	record, err := NewRecord(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	fleet, err := NewFleet(root, record, c.runners)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	keep := os.Getenv("KEEP") != ""
	defer fleet.Stop(keep)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(timeLimit):
		}
		fleet.Stop(keep)
		os.Exit(2)
	}()
	if err := fleet.Start(c.runners, c.cpuMilli, firstHeartbeat); err != nil {
		fmt.Println(err)
		return 2
	}
	broken, err := c.play(&run{Fleet: fleet, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		record.Add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		record.Add("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return 1
	}
	record.Add("held")
	fmt.Println("held")
	return 0
}
