package core

import (
	"context"
	"time"

	"agatehaven.dev/agatehaven/internal/bootstrap"
)

// restartDelay separates the failure of a replica from its restart. Disk faults last
// some seconds.
const restartDelay = time.Second

// Supervise runs a Core until ctx ends. If its replica stops, for example because the
// disk is full, a new Core is started from the contents of the disk. serve is called
// with the running Core, and with nil when it has stopped.
func Supervise(ctx context.Context, cfg Config, serve func(*Core)) {
	cfg.acceptor = bootstrap.NewAcceptor(cfg.FirstStart)
	for ctx.Err() == nil {
		if err := runOnce(ctx, &cfg, serve); err != nil {
			cfg.Log.Error().Err(err).Msg("core stopped")
			sleep(ctx, restartDelay)
		}
	}
}

func runOnce(ctx context.Context, cfg *Config, serve func(*Core)) error {
	if err := cfg.bootstrap(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := New(running, *cfg)
	if err != nil {
		return err
	}
	serve(c)
	defer serve(nil)
	return c.Run(ctx)
}
