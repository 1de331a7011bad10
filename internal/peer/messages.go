// Package peer implements the calls between the daemons of a fleet: connect-go
// unary calls with a CBOR codec, and long polls instead of streams.
package peer

import (
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/replica"
)

// StepRequest carries raft messages of one group to one replica.
type StepRequest struct {
	Group string `cbor:"1,keyasint"`
	// Messages are encoded by package raft.
	Messages []byte `cbor:"2,keyasint"`
	// More holds further messages, in the order in which they were sent.
	More [][]byte `cbor:"3,keyasint,omitempty"`
}

// StepResponse is empty: raft replies are separate messages.
type StepResponse struct{}

// SubmitRequest claims a key in its home ledger.
type SubmitRequest struct {
	Key      string   `cbor:"1,keyasint"`
	Kind     string   `cbor:"2,keyasint"`
	Team     string   `cbor:"3,keyasint"`
	Payload  []byte   `cbor:"4,keyasint"`
	Deadline hlc.Time `cbor:"5,keyasint"`
	WaitMS   int64    `cbor:"6,keyasint"`
	// Entry is the entry host that received the request from the caller. It is
	// the preferred owner if it is in the home data centre.
	Entry string `cbor:"7,keyasint"`
	// DataCentre is the home of the key.
	DataCentre string `cbor:"8,keyasint"`
}

// AwaitRequest reads a request and waits for its outcome.
type AwaitRequest struct {
	Key    string `cbor:"1,keyasint"`
	WaitMS int64  `cbor:"2,keyasint"`
	// DataCentre is the home of the key.
	DataCentre string `cbor:"3,keyasint"`
}

// RequestResponse is the answer to Submit, Await and CancelRequest. Payload
// and attempt details may be omitted.
type RequestResponse struct {
	Request model.Request `cbor:"1,keyasint"`
}

// CancelRequestRequest cancels a request.
type CancelRequestRequest struct {
	Key   string `cbor:"1,keyasint"`
	Actor string `cbor:"2,keyasint"`
	// DataCentre is the home of the key.
	DataCentre string `cbor:"3,keyasint"`
}

// PullAssignmentsRequest asks for the attempts that the owner has not
// acknowledged. It is also the owner's heartbeat.
type PullAssignmentsRequest struct {
	DataCentre  string `cbor:"1,keyasint"`
	Owner       string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	// Known lists the attempts that the owner already has.
	Known  []AttemptRef `cbor:"4,keyasint"`
	WaitMS int64        `cbor:"5,keyasint"`
	// Draining is set when the owner is stopping and must get no new work.
	Draining bool `cbor:"6,keyasint"`
}

// AttemptRef names one attempt.
type AttemptRef struct {
	Key     string `cbor:"1,keyasint"`
	Attempt int    `cbor:"2,keyasint"`
}

// PullAssignmentsResponse holds attempts to start and updates (stop requested,
// host draining) of attempts already known.
type PullAssignmentsResponse struct {
	Assignments []model.Assignment `cbor:"1,keyasint"`
}

// ReportAttemptsRequest reports results of attempts to the leader.
type ReportAttemptsRequest struct {
	DataCentre string                `cbor:"1,keyasint"`
	Reports    []model.AttemptReport `cbor:"2,keyasint"`
}

// ReportAttemptsResponse confirms that all reports are committed.
type ReportAttemptsResponse struct{}

// AnnounceBatchRequest forwards announcements of one data centre's targets.
type AnnounceBatchRequest struct {
	DataCentre string            `cbor:"1,keyasint"`
	Items      []AnnounceRequest `cbor:"2,keyasint"`
}

// AnnounceBatchResponse holds one result for each item, in their order.
type AnnounceBatchResponse struct {
	Results []AnnounceResult `cbor:"1,keyasint"`
}

// AnnounceResult is the lease granted to a target, or why its announcement
// was refused.
type AnnounceResult struct {
	LeaseMS int64      `cbor:"1,keyasint,omitempty"`
	Code    fault.Code `cbor:"2,keyasint,omitempty"`
	Text    string     `cbor:"3,keyasint,omitempty"`
}

// AnnounceRequest is a target's announcement.
type AnnounceRequest struct {
	Info    model.HostInfo `cbor:"1,keyasint"`
	Running []AttemptRef   `cbor:"2,keyasint"`
	Usage   []model.Usage  `cbor:"3,keyasint"`
}

// AnnounceResponse gives the lease granted to the target.
type AnnounceResponse struct {
	LeaseMS int64 `cbor:"1,keyasint"`
}

// PullRecordsRequest asks a data centre group (or, with DataCentre empty, the
// region group) for records newer than those given; it waits up to WaitMS.
type PullRecordsRequest struct {
	DataCentre    string `cbor:"1,keyasint"`
	Revision      uint64 `cbor:"2,keyasint"`
	FloorRevision uint64 `cbor:"3,keyasint"`
	WaitMS        int64  `cbor:"4,keyasint"`
	// Digest is the digest of the caller's records. If it is set, the answer may
	// be a delta. Without it, or if the history of the called group does not
	// contain the caller's state, the answer is the full set.
	Digest *delta.Digest `cbor:"5,keyasint,omitempty"`
}

// State returns the caller's state; its digest is zero if none was given.
func (r *PullRecordsRequest) State() delta.State {
	s := delta.State{Revision: r.Revision, FloorRevision: r.FloorRevision}
	if r.Digest != nil {
		s.Digest = *r.Digest
	}
	return s
}

// PullRecordsResponse holds the full set or a delta from the caller's state;
// both are nil if no records are newer.
type PullRecordsResponse struct {
	Records *model.Records `cbor:"1,keyasint"`
	Delta   *delta.Delta   `cbor:"2,keyasint,omitempty"`
}

// ApplyRecordsRequest is an operator's change of records.
type ApplyRecordsRequest struct {
	// RequestID identifies the operation: a resend gets the first answer.
	RequestID string `cbor:"1,keyasint" json:"request_id"`
	// ExpectedRevision is the revision that the operator saw.
	ExpectedRevision uint64         `cbor:"2,keyasint" json:"expected_revision"`
	Records          []model.Record `cbor:"3,keyasint" json:"records"`
	Operator         string         `cbor:"4,keyasint" json:"operator"`
}

// ApplyRecordsResponse gives the revision that the change created.
type ApplyRecordsResponse struct {
	Revision uint64 `cbor:"1,keyasint" json:"revision"`
}

// AckAdoptionRequest tells the region group which revisions a data centre has
// adopted.
type AckAdoptionRequest struct {
	DataCentre    string `cbor:"1,keyasint"`
	Revision      uint64 `cbor:"2,keyasint"`
	FloorRevision uint64 `cbor:"3,keyasint"`
}

// AckAdoptionResponse is empty.
type AckAdoptionResponse struct{}

// DataCentreRequest queries the state of a data centre.
type DataCentreRequest struct {
	DataCentre string `cbor:"1,keyasint"`
	// Requests limits the requests returned, newest first; 0 returns none.
	Requests int `cbor:"2,keyasint"`
}

// DataCentreResponse is the state of a data centre at one log index.
type DataCentreResponse struct {
	DataCentre string               `cbor:"1,keyasint" json:"data_centre"`
	Revision   uint64               `cbor:"2,keyasint" json:"revision"`
	Hosts      []model.Host         `cbor:"3,keyasint" json:"hosts"`
	Waves      []model.WaveProgress `cbor:"4,keyasint" json:"waves"`
	Requests   []model.Request      `cbor:"5,keyasint" json:"requests"`
	// Queued and Running count requests by pool.
	Queued  map[string]int `cbor:"6,keyasint" json:"queued"`
	Running map[string]int `cbor:"7,keyasint" json:"running"`
}

// HostAction is an operator's order for one host.
type HostAction string

// Orders for a host.
const (
	HostDrain  HostAction = "drain"
	HostMove   HostAction = "move"
	HostResume HostAction = "resume"
)

// HostCommandRequest orders a change of one host.
type HostCommandRequest struct {
	DataCentre string     `cbor:"1,keyasint" json:"data_centre"`
	Host       string     `cbor:"2,keyasint" json:"host"`
	Action     HostAction `cbor:"3,keyasint" json:"action"`
	ToPool     string     `cbor:"4,keyasint,omitempty" json:"to_pool,omitempty"`
	Operator   string     `cbor:"5,keyasint" json:"operator"`
	Reason     string     `cbor:"6,keyasint" json:"reason"`
}

// HostCommandResponse gives the host after the command.
type HostCommandResponse struct {
	Host model.Host `cbor:"1,keyasint" json:"host"`
}

// ReplicaAction is a membership change.
type ReplicaAction string

// Membership changes.
const (
	ReplicaAdd    ReplicaAction = "add"
	ReplicaRemove ReplicaAction = "remove"
)

// ChangeReplicasRequest changes the members of a group.
type ChangeReplicasRequest struct {
	Group  string         `cbor:"1,keyasint" json:"group"`
	Action ReplicaAction  `cbor:"2,keyasint" json:"action"`
	Member replica.Member `cbor:"3,keyasint" json:"member"`
}

// ChangeReplicasResponse gives the members after the change.
type ChangeReplicasResponse struct {
	Members []replica.Member `cbor:"1,keyasint" json:"members"`
}

// GroupStatusRequest asks a process for the status of its replicas.
type GroupStatusRequest struct{}

// GroupStatusResponse lists the replicas of one process.
type GroupStatusResponse struct {
	Host   string           `cbor:"1,keyasint" json:"host"`
	Groups []replica.Status `cbor:"2,keyasint" json:"groups"`
}

// EventsRequest asks a process for its events. Empty filters match all.
type EventsRequest struct {
	After   hlc.Time `cbor:"1,keyasint"`
	Limit   int      `cbor:"2,keyasint"`
	Host    string   `cbor:"3,keyasint"`
	Pool    string   `cbor:"4,keyasint"`
	Request string   `cbor:"5,keyasint"`
	Wave    string   `cbor:"6,keyasint"`
}

// EventsResponse holds events ordered by time.
type EventsResponse struct {
	Events []event.Event `cbor:"1,keyasint" json:"events"`
}

// InForceRequest asks a process which revision it has in force.
type InForceRequest struct{}

// InForceResponse gives the revision in force in one process, and its state.
type InForceResponse struct {
	Host       string `cbor:"1,keyasint" json:"host"`
	DataCentre string `cbor:"2,keyasint" json:"data_centre"`
	Revision   uint64 `cbor:"3,keyasint" json:"revision"`
	Ready      bool   `cbor:"4,keyasint" json:"ready"`
	Version    string `cbor:"5,keyasint" json:"version"`
}
