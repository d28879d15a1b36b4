// Command ibispier is the command-line tool for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibispier/ibispier/cli"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cli.Run(ctx, os.Args[1:], cli.Environment{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv})
}
