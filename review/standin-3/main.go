// Command standin-3 plays one case of the review against the project's own processes on
// loopback addresses. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by the name of their folder. Each returns the breaks of its rule.
var cases = map[string]func(folder string, r *record, trouble bool) ([]string, error){
	"11": restartUnderTheSameID,
	"12": idleService,
	"13": countOfWaiting,
}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 2 || cases[filepath.Base(os.Args[1])] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 review/N")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	trouble := os.Getenv("TROUBLE") != "0"
	breaks, err := cases[filepath.Base(os.Args[1])](folder, r, trouble)
	switch {
	case errors.As(err, new(errCannotRun)):
		r.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case err != nil:
		r.add("error: %v", err)
		fmt.Println("error:", err)
		return exitNotRun
	}
	for i, b := range breaks {
		r.add("RULE BROKEN: %s", b)
		if i < 10 {
			fmt.Println("RULE BROKEN:", b)
		}
	}
	if len(breaks) > 0 {
		fmt.Println(len(breaks), "breaks")
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
