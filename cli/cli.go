// Package cli implements the command-line tool ibispier: a table of subcommands
// that call package client.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/client"
)

// Error is the class of all errors of this package.
var Error = errs.Class("cli")

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3 // the deployment refused the call; a retry does not help
	ExitUnavailable = 4 // no response from the deployment; the same call may be retried
)

// Environment holds the output streams and environment variables of a command.
type Environment struct {
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(name string) string
}

// usageError reports an invalid command line. It leads to ExitUsage.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }

func usagef(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// action runs a command. args are the positional arguments.
type action func(ctx context.Context, s *session, args []string) error

// command describes a subcommand.
type command struct {
	path     string // words that select the command, such as "plan list"
	args     string // positional arguments as shown in the usage line
	argCount int    // number of positional arguments
	summary  string
	example  string
	setup    func(f *flag.FlagSet) action
}

// session holds the client and the output options of one command run.
type session struct {
	env     Environment
	client  *client.Client
	entries []string
	json    bool
}

// print writes v as JSON when -json is set; otherwise it calls text.
func (s *session) print(v any, text func(w io.Writer) error) error {
	if !s.json {
		return text(s.env.Stdout)
	}
	encoder := json.NewEncoder(s.env.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}

// note writes a line to standard error, apart from the result.
func (s *session) note(format string, args ...any) {
	fmt.Fprintf(s.env.Stderr, format+"\n", args...)
}

// commonFlags holds the flags that every command accepts.
type commonFlags struct {
	admin   string
	entry   string
	timeout time.Duration
	json    bool
}

func (c *commonFlags) register(f *flag.FlagSet, getenv func(string) string) {
	f.StringVar(&c.admin, "admin", orDefault(getenv("IBISPIER_ADMIN"), "127.0.0.1:8081"), "admin addresses, ip:port separated by commas (IBISPIER_ADMIN)")
	f.StringVar(&c.entry, "entry", orDefault(getenv("IBISPIER_ENTRY"), "127.0.0.1:8080"), "entry addresses, ip:port separated by commas (IBISPIER_ENTRY)")
	f.DurationVar(&c.timeout, "timeout", client.DefaultTimeout, "time limit of each call with its retries")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *commonFlags) session(env Environment) (*session, error) {
	if c.timeout <= 0 {
		return nil, usagef("-timeout must be above 0")
	}
	entries := splitList(c.entry)
	return &session{
		env:     env,
		client:  client.New(client.Options{Admin: splitList(c.admin), Entry: entries, Timeout: c.timeout}),
		entries: entries,
		json:    c.json,
	}, nil
}

// Run executes the command line args and returns the exit code.
func Run(ctx context.Context, args []string, env Environment) int {
	c, rest := findCommand(args)
	if c == nil {
		return printOverview(args, env)
	}
	flags := flag.NewFlagSet("ibispier "+c.path, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	shared := new(commonFlags)
	shared.register(flags, env.Getenv)
	run := c.setup(flags)
	positional, err := parse(flags, rest)
	switch {
	case errors.Is(err, flag.ErrHelp):
		printHelp(env.Stdout, c, flags)
		return ExitOK
	case err == nil && len(positional) != c.argCount:
		err = usagef("want %q after the flags, got %q", c.args, strings.Join(positional, " "))
	}
	var s *session
	if err == nil {
		s, err = shared.session(env)
	} else {
		err = usageError{err}
	}
	if err == nil {
		err = run(ctx, s, positional)
	}
	return reportError(env, c, err)
}

// parse parses flags before and after positional arguments and returns the
// latter.
func parse(f *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := f.Parse(args); err != nil {
			return nil, err
		}
		if f.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, f.Arg(0))
		args = f.Args()[1:]
	}
}

// findCommand returns the command selected by args and the remaining arguments.
func findCommand(args []string) (*command, []string) {
	for length := min(2, len(args)); length > 0; length-- {
		path := strings.Join(args[:length], " ")
		for i := range commands {
			if commands[i].path == path {
				return &commands[i], args[length:]
			}
		}
	}
	return nil, nil
}

func reportError(env Environment, c *command, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(env.Stderr, "ibispier %s: %v\n", c.path, err)
	code := exitCode(err)
	if code == ExitUsage {
		fmt.Fprintf(env.Stderr, "run \"ibispier %s -h\" for help\n", c.path)
	}
	return code
}

func exitCode(err error) int {
	var failed *client.Error
	var usage usageError
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &failed) && failed.Retryable():
		return ExitUnavailable
	case errors.As(err, &failed):
		return ExitRefused
	default:
		return ExitFailed
	}
}

// printOverview lists the commands. It returns ExitOK only if help was requested.
func printOverview(args []string, env Environment) int {
	helpRequested := len(args) > 0 && (args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help")
	w, code := env.Stderr, ExitUsage
	if helpRequested {
		w, code = env.Stdout, ExitOK
	} else if len(args) > 0 {
		fmt.Fprintf(w, "ibispier: unknown command %q\n", strings.Join(args[:min(2, len(args))], " "))
	}
	fmt.Fprintln(w, "usage: ibispier COMMAND [flags] [arguments]; run a command with -h for its help")
	for i := range commands {
		fmt.Fprintf(w, "  %-34s %s\n", strings.TrimSpace(commands[i].path+" "+commands[i].args), commands[i].summary)
	}
	return code
}

func printHelp(w io.Writer, c *command, f *flag.FlagSet) {
	fmt.Fprintf(w, "usage: ibispier %s [flags] %s\n%s\n\nexample:\n  %s\n\nflags:\n", c.path, c.args, c.summary, c.example)
	f.SetOutput(w)
	f.PrintDefaults()
}

func orDefault(text, fallback string) string {
	if text != "" {
		return text
	}
	return fallback
}

func splitList(s string) []string {
	var items []string
	for _, item := range strings.Split(s, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
