package control

import (
	"context"
)

func (c *Controller) completeDrains(_ context.Context) {}
func (c *Controller) runWaves(_ context.Context)       {}
func (c *Controller) repair(_ context.Context)         {}
func (c *Controller) judgeHosts(_ context.Context)     {}
func (c *Controller) retryEnded(_ context.Context)     {}
