// Package command serves the operators' commands over HTTP: changes of
// records, orders for hosts, changes of replicas and cancelled requests.
package command

import (
	"context"
	"mime"
	"net/http"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/httpapi"
	"agatehaven.dev/agatehaven/internal/peer"
)

// MaxRecords bounds the records of one change. All records of a fleet with 31
// pools and 480 quotas fit into one.
const MaxRecords = 4096

// Backend executes the commands. Each method forwards to the leader of the group
// that owns the state.
type Backend interface {
	ApplyRecords(ctx context.Context, r *peer.ApplyRecordsRequest) (*peer.ApplyRecordsResponse, error)
	HostCommand(ctx context.Context, r *peer.HostCommandRequest) (*peer.HostCommandResponse, error)
	ChangeReplicas(ctx context.Context, r *peer.ChangeReplicasRequest) (*peer.ChangeReplicasResponse, error)
	CancelRequest(ctx context.Context, r *peer.CancelRequestRequest) (*peer.RequestResponse, error)
}

// CancelBody is the optional body of DELETE /v1/requests/{key}.
type CancelBody struct {
	Operator string `json:"operator"`
}

// Register adds the routes of the commands to mux. Bodies are limited to
// limit bytes.
func Register(mux *http.ServeMux, b Backend, limit int64) {
	d := decoder{limit: limit}
	httpapi.Handle(mux, "POST /v1/records", applyEndpoint(b), d.apply)
	httpapi.Handle(mux, "POST /v1/hosts/{host}/drain", hostEndpoint(b), d.host(peer.HostDrain))
	httpapi.Handle(mux, "POST /v1/hosts/{host}/move", hostEndpoint(b), d.host(peer.HostMove))
	httpapi.Handle(mux, "POST /v1/hosts/{host}/resume", hostEndpoint(b), d.host(peer.HostResume))
	httpapi.Handle(mux, "POST /v1/replicas", replicasEndpoint(b), d.replicas)
	httpapi.Handle(mux, "DELETE /v1/requests/{key}", cancelEndpoint(b), d.cancel)
}

func applyEndpoint(b Backend) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return b.ApplyRecords(ctx, request.(*peer.ApplyRecordsRequest))
	}
}

func hostEndpoint(b Backend) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return b.HostCommand(ctx, request.(*peer.HostCommandRequest))
	}
}

func replicasEndpoint(b Backend) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return b.ChangeReplicas(ctx, request.(*peer.ChangeReplicasRequest))
	}
}

func cancelEndpoint(b Backend) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		response, err := b.CancelRequest(ctx, request.(*peer.CancelRequestRequest))
		if err != nil {
			return nil, err
		}
		r := response.Request.WithoutContent()
		return &r, nil
	}
}

// decoder decodes requests and checks everything that does not depend on the
// replicated state.
type decoder struct{ limit int64 }

// body decodes a JSON body. The content type must be JSON, so that a web page
// cannot send a command as a plain form from an operator's browser.
func (d decoder) body(r *http.Request, v any) error {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || media != "application/json" {
		return &fault.Invalid{Field: "Content-Type", Reason: "is not JSON", Allowed: "application/json"}
	}
	return httpapi.Decode(r, d.limit, v)
}

func (d decoder) apply(_ context.Context, r *http.Request) (any, error) {
	var request peer.ApplyRecordsRequest
	if err := d.body(r, &request); err != nil {
		return nil, err
	}
	request.Operator = operatorName(r, request.Operator)
	if err := checkApply(&request); err != nil {
		return nil, err
	}
	return &request, nil
}

func checkApply(r *peer.ApplyRecordsRequest) error {
	if err := checkRequired("request_id", r.RequestID, "operator", r.Operator); err != nil {
		return err
	}
	if len(r.Records) == 0 {
		return &fault.Invalid{Field: "records", Reason: "is empty", Allowed: "at least one record"}
	}
	if len(r.Records) > MaxRecords {
		return &fault.LimitExceeded{What: "records of one change", Limit: MaxRecords}
	}
	for i := range r.Records {
		record := &r.Records[i]
		if err := checkRequired("record kind", string(record.Kind), "record name", record.Name); err != nil {
			return err
		}
		if record.Schema < 1 {
			return &fault.Invalid{Field: "schema of " + string(record.Kind) + " " + record.Name, Reason: "is missing", Allowed: "1 or more"}
		}
	}
	return nil
}

func (d decoder) host(action peer.HostAction) kithttp.DecodeRequestFunc {
	return func(_ context.Context, r *http.Request) (any, error) {
		var request peer.HostCommandRequest
		if err := d.body(r, &request); err != nil {
			return nil, err
		}
		name := r.PathValue("host")
		if (request.Host != "" && request.Host != name) || (request.Action != "" && request.Action != action) {
			return nil, &fault.Invalid{Field: "body", Reason: "names another host or action than the path", Allowed: "the path's, or none"}
		}
		request.Host, request.Action = name, action
		request.Operator = operatorName(r, request.Operator)
		if action == peer.HostMove {
			if err := checkRequired("to_pool", request.ToPool); err != nil {
				return nil, err
			}
		}
		if err := checkRequired("data_centre", request.DataCentre, "operator", request.Operator, "reason", request.Reason); err != nil {
			return nil, err
		}
		return &request, nil
	}
}

func (d decoder) replicas(_ context.Context, r *http.Request) (any, error) {
	var request peer.ChangeReplicasRequest
	if err := d.body(r, &request); err != nil {
		return nil, err
	}
	if request.Action != peer.ReplicaAdd && request.Action != peer.ReplicaRemove {
		return nil, &fault.Invalid{Field: "action", Reason: "is unknown", Allowed: "add, remove"}
	}
	if err := checkRequired("group", request.Group, "member id", request.Member.ID, "member host", request.Member.Host); err != nil {
		return nil, err
	}
	return &request, nil
}

func (d decoder) cancel(_ context.Context, r *http.Request) (any, error) {
	var body CancelBody
	if r.ContentLength != 0 {
		if err := d.body(r, &body); err != nil {
			return nil, err
		}
	}
	request := &peer.CancelRequestRequest{Key: r.PathValue("key"), Actor: operatorName(r, body.Operator)}
	return request, checkRequired("operator", request.Actor)
}

// operatorName returns the common name of the verified client certificate. If
// there is none, because the listener does not ask for certificates, it returns
// the stated name.
func operatorName(r *http.Request, stated string) string {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return r.TLS.VerifiedChains[0][0].Subject.CommonName
	}
	return stated
}

// checkRequired takes pairs of field name and value. It returns *fault.Invalid
// for the first empty value.
func checkRequired(pairs ...string) error {
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			return &fault.Invalid{Field: pairs[i], Reason: "is missing", Allowed: "a text"}
		}
	}
	return nil
}
