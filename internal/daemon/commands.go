package daemon

import (
	"context"

	"agatehaven.dev/agatehaven/internal/control"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/region"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/settings"
)

// handler implements peer.Handler for this host.
type handler struct{ d *Daemon }

var _ peer.Handler = handler{}

// localDataCentre returns this host's replica of a data centre group, or
// *fault.NotLeader if it has none.
func (h handler) localDataCentre(group string) (*dataCentreReplica, error) {
	n := h.d.dataCentres[group]
	if n == nil {
		return nil, &fault.NotLeader{Group: group}
	}
	return n, nil
}

// controller returns the controller of a data centre group on this host.
func (h handler) controller(group string) (*control.Controller, error) {
	n, err := h.localDataCentre(group)
	if err != nil {
		return nil, err
	}
	return n.controller, nil
}

// Step passes raft messages to a replica.
func (h handler) Step(_ context.Context, r *peer.StepRequest) (*peer.StepResponse, error) {
	group := h.replicaOf(r.Group)
	if group == nil {
		return nil, &fault.NotFound{Kind: "replica of group", Name: r.Group}
	}
	if err := group.Step(r.Messages); err != nil {
		return nil, err
	}
	for _, messages := range r.More {
		if err := group.Step(messages); err != nil {
			return nil, err
		}
	}
	return &peer.StepResponse{}, nil
}

// Submit claims a key in the ledger of the named data centre.
func (h handler) Submit(ctx context.Context, r *peer.SubmitRequest) (*peer.RequestResponse, error) {
	c, err := h.controller(r.DataCentre)
	if err != nil {
		return nil, err
	}
	return c.Submit(ctx, r)
}

// CancelRequest cancels a request.
func (h handler) CancelRequest(ctx context.Context, r *peer.CancelRequestRequest) (*peer.RequestResponse, error) {
	c, err := h.controller(r.DataCentre)
	if err != nil {
		return nil, err
	}
	return c.CancelRequest(ctx, r)
}

// ReportAttempts commits results of attempts.
func (h handler) ReportAttempts(ctx context.Context, r *peer.ReportAttemptsRequest) (*peer.ReportAttemptsResponse, error) {
	c, err := h.controller(r.DataCentre)
	if err != nil {
		return nil, err
	}
	return c.ReportAttempts(ctx, r)
}

// Announce records targets' announcements and returns their leases.
func (h handler) Announce(ctx context.Context, r *peer.AnnounceBatchRequest) (*peer.AnnounceBatchResponse, error) {
	c, err := h.controller(r.DataCentre)
	if err != nil {
		return nil, err
	}
	return handleAnnouncements(ctx, r.Items, c.Announce)
}

// HostCommand carries out an operator's order for a host.
func (h handler) HostCommand(ctx context.Context, r *peer.HostCommandRequest) (*peer.HostCommandResponse, error) {
	c, err := h.controller(r.DataCentre)
	if err != nil {
		return nil, err
	}
	return c.HostCommand(ctx, r)
}

// ApplyRecords commits an operator's change of records.
func (h handler) ApplyRecords(ctx context.Context, r *peer.ApplyRecordsRequest) (*peer.ApplyRecordsResponse, error) {
	result, err := h.proposeRegion(ctx, region.Command{Apply: r})
	if err != nil {
		return nil, err
	}
	return &peer.ApplyRecordsResponse{Revision: result.Revision}, nil
}

// AckAdoption records the revisions that a data centre has adopted.
func (h handler) AckAdoption(ctx context.Context, r *peer.AckAdoptionRequest) (*peer.AckAdoptionResponse, error) {
	if _, err := h.proposeRegion(ctx, region.Command{Ack: r}); err != nil {
		return nil, err
	}
	return &peer.AckAdoptionResponse{}, nil
}

func (h handler) proposeRegion(ctx context.Context, cmd region.Command) (region.Result, error) {
	if h.d.region == nil {
		return region.Result{}, &fault.NotLeader{Group: settings.RegionGroup}
	}
	result, err := replica.ProposeCommand[region.Result](ctx, h.d.region.group, cmd)
	if err != nil {
		return region.Result{}, err
	}
	return result, result.Err
}

// ChangeReplicas adds or removes a member of a group that this host leads.
func (h handler) ChangeReplicas(ctx context.Context, r *peer.ChangeReplicasRequest) (*peer.ChangeReplicasResponse, error) {
	group := h.replicaOf(r.Group)
	if group == nil {
		return nil, &fault.NotLeader{Group: r.Group}
	}
	var err error
	switch r.Action {
	case peer.ReplicaAdd:
		err = group.AddReplica(ctx, r.Member)
	case peer.ReplicaRemove:
		err = group.RemoveReplica(ctx, r.Member.ID)
	default:
		err = &fault.Invalid{Field: "action", Reason: "unknown", Allowed: "add or remove"}
	}
	if err != nil {
		return nil, err
	}
	return &peer.ChangeReplicasResponse{Members: group.Status().Members}, nil
}

func (h handler) replicaOf(group string) *replica.Replica {
	if group == settings.RegionGroup {
		if h.d.region == nil {
			return nil
		}
		return h.d.region.group
	}
	if n := h.d.dataCentres[group]; n != nil {
		return n.group
	}
	return nil
}
