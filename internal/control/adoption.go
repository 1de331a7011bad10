package control

import (
	"context"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/peer"
)

// adopt pulls newer records from the region group into this data centre's
// group and acknowledges them, so that floors may be lowered elsewhere.
func (c *Controller) adopt(ctx context.Context) {
	have := c.cfg.StateMachine.RecordsState()
	request := &peer.PullRecordsRequest{
		Revision:      have.Revision,
		FloorRevision: have.FloorRevision,
		WaitMS:        c.cfg.Timing.RecordsWait.Milliseconds(),
	}
	if !c.pullFullSet {
		request.Digest = &have.Digest
	}
	resp, err := c.cfg.Records.PullRecords(ctx, request)
	if err != nil {
		c.cfg.Log.Debug().Err(err).Msg("pull of records from the region group failed")
		return
	}
	if cmd, to, ok := adoptionCommand(resp, have); ok {
		result, err := c.propose(ctx, cmd)
		// After a refused delta the next pull asks for the full set. Without a
		// result the entry may still commit, and the next pull shows it.
		c.pullFullSet = cmd.AdoptDelta != nil && result.Err != nil
		if err != nil {
			c.cfg.Log.Warn().Err(err).Uint64("revision", to.Revision).Bool("delta", cmd.AdoptDelta != nil).Msg("records not adopted")
			return
		}
		c.cfg.Log.Info().Uint64("revision", to.Revision).Bool("delta", cmd.AdoptDelta != nil).Msg("records adopted")
	}
	c.acknowledge(ctx)
}

// adoptionCommand returns the command that commits pulled records and the state
// that it leads to; the third result is false if none are newer than have.
func adoptionCommand(resp *peer.PullRecordsResponse, have delta.State) (datacentre.Command, delta.State, bool) {
	switch {
	case resp.Delta != nil:
		return datacentre.Command{AdoptDelta: resp.Delta}, resp.Delta.To, true
	case resp.Records != nil:
		to := delta.State{Revision: resp.Records.Revision, FloorRevision: resp.Records.FloorRevision}
		return datacentre.Command{Adopt: resp.Records}, to, to.Newer(have)
	}
	return datacentre.Command{}, delta.State{}, false
}

// acknowledge tells the region group which revisions are in force in this data
// centre, once for each change and once for each term.
func (c *Controller) acknowledge(ctx context.Context) {
	have := c.cfg.StateMachine.Records()
	if have.Revision == 0 {
		return
	}
	c.mu.Lock()
	ack := adoptionAck{term: c.term, revision: have.Revision, floors: have.FloorRevision}
	done := c.lastAck == ack
	c.mu.Unlock()
	if done {
		return
	}
	_, err := c.cfg.Records.AckAdoption(ctx, &peer.AckAdoptionRequest{
		DataCentre: c.cfg.DataCentre, Revision: have.Revision, FloorRevision: have.FloorRevision,
	})
	if err != nil {
		return
	}
	c.mu.Lock()
	c.lastAck = ack
	c.mu.Unlock()
}

// adoptionAck identifies the last acknowledgement.
type adoptionAck struct {
	term, revision, floors uint64
}
