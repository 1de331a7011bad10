package core

import (
	"context"
	"errors"

	"agatehaven.dev/agatehaven/internal/bootstrap"
	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/wal"
)

// bootstrap agrees on the initial members if this is the first start of the region
// and the disk holds no replica yet. Until then it answers the other hosts' requests.
func (c *Config) bootstrap(ctx context.Context) error {
	if !c.FirstStart {
		return nil
	}
	if c.FS == nil {
		c.FS = wal.OSFS{}
	}
	_, err := wal.LoadIdentity(c.FS, c.Dir)
	var missing *fault.NotFound
	if !errors.As(err, &missing) {
		return err
	}
	listener, err := c.listen()
	if err != nil {
		return err
	}
	server := link.NewServer(link.Redirector{
		Acceptor: c.acceptor, KnownMembers: func() link.Members { return link.Members{} }, OnMembers: func(*link.Members) {},
	}, c.LinkShare, c.Log)
	go func() { _ = server.Serve(listener) }() // returns an error once the server is closed
	clients := link.NewClients(c.Port)
	c.initialHosts = bootstrap.Agree(ctx, bootstrap.Config{
		Self: bootstrap.Candidate{Host: c.Host, DataCentre: c.DataCentre}, Seeds: c.Seeds(),
		Call: func(ctx context.Context, seed string, r *bootstrap.Request) (*bootstrap.Answer, error) {
			return clients.To(seed).Bootstrap(ctx, r)
		},
		Clock: clock.System{}, Log: c.Log,
	})
	return server.Close()
}

// Bootstrap implements link.Handler.
func (c *Core) Bootstrap(_ context.Context, r *bootstrap.Request) (*bootstrap.Answer, error) {
	a := c.cfg.acceptor.Handle(r)
	a.GroupExists = c.replica.Status().Leader != ""
	return a, nil
}
