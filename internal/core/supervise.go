package core

import (
	"context"
	"time"

	"agatehaven.dev/agatehaven/internal/founding"
)

// restartPause follows the failure of a replica. Faults of disks last some
// seconds.
const restartPause = time.Second

// Supervise runs processes of the core until ctx ends: a replica that stops,
// such as for a full disk, is started again from what its disk holds. serve is
// told which one runs, nil while none does.
func Supervise(ctx context.Context, cfg Config, serve func(*Core)) {
	cfg.acceptor = founding.NewAcceptor(cfg.FirstStart)
	for ctx.Err() == nil {
		if err := runOnce(ctx, &cfg, serve); err != nil {
			cfg.Log.Error().Err(err).Msg("core stopped")
			pause(ctx, restartPause)
		}
	}
}

func runOnce(ctx context.Context, cfg *Config, serve func(*Core)) error {
	if err := cfg.found(ctx); err != nil || ctx.Err() != nil {
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
