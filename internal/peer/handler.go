package peer

import "context"

// Handler is the set of peer calls. The daemon implements it for its own
// host; a Dialer returns one that calls another host. A call that needs a
// group's leader returns *fault.NotLeader on a host that does not lead, and
// LeaderClient repeats it at the leader.
type Handler interface {
	Step(ctx context.Context, r *StepRequest) (*StepResponse, error)
	Submit(ctx context.Context, r *SubmitRequest) (*RequestResponse, error)
	Await(ctx context.Context, r *AwaitRequest) (*RequestResponse, error)
	CancelRequest(ctx context.Context, r *CancelRequestRequest) (*RequestResponse, error)
	PullAssignments(ctx context.Context, r *PullAssignmentsRequest) (*PullAssignmentsResponse, error)
	ReportAttempts(ctx context.Context, r *ReportAttemptsRequest) (*ReportAttemptsResponse, error)
	Announce(ctx context.Context, r *AnnounceBatchRequest) (*AnnounceBatchResponse, error)
	PullRecords(ctx context.Context, r *PullRecordsRequest) (*PullRecordsResponse, error)
	ApplyRecords(ctx context.Context, r *ApplyRecordsRequest) (*ApplyRecordsResponse, error)
	AckAdoption(ctx context.Context, r *AckAdoptionRequest) (*AckAdoptionResponse, error)
	DataCentre(ctx context.Context, r *DataCentreRequest) (*DataCentreResponse, error)
	HostCommand(ctx context.Context, r *HostCommandRequest) (*HostCommandResponse, error)
	ChangeReplicas(ctx context.Context, r *ChangeReplicasRequest) (*ChangeReplicasResponse, error)
	GroupStatus(ctx context.Context, r *GroupStatusRequest) (*GroupStatusResponse, error)
	Events(ctx context.Context, r *EventsRequest) (*EventsResponse, error)
	InForce(ctx context.Context, r *InForceRequest) (*InForceResponse, error)
}

// Dialer returns the handler of a host by name. It returns *fault.NotFound
// for a host that the settings do not name.
type Dialer interface {
	Dial(host string) (Handler, error)
}
