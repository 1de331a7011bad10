package control

import "context"

// Step runs every responsibility once, in a fixed order, so that tests do not
// depend on the scheduling of the loops.
func (c *Controller) Step(ctx context.Context) {
	if !c.leading() {
		return
	}
	c.expireLeases(ctx)
	c.judgeHosts(ctx)
	c.retryEnded(ctx)
	c.maintainLedger(ctx)
	c.runWaves(ctx)
	c.repair(ctx)
	c.place(ctx)
	c.resolveOrphans(ctx)
	c.adopt(ctx)
}
