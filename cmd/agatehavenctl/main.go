// Command agatehavenctl is the operators' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Env{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,
		Clock:  clock.System{},
	})
	stop()
	os.Exit(code)
}
