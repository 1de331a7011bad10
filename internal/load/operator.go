package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

// operatorTimeout is the time limit of one call to the operator API.
const operatorTimeout = 20 * time.Second

// Operator calls the operator API of one entry host.
type Operator struct{ Address string }

func readJSON(ctx context.Context, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	body, err := get(ctx, url)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	if err := json.NewDecoder(body).Decode(out); err != nil {
		return &fault.Corrupt{What: url, Reason: err.Error()}
	}
	return nil
}

// Ready counts the ready hosts of a data centre.
func (o Operator) Ready(ctx context.Context, dataCentre string) (int, error) {
	var hosts query.Hosts
	err := readJSON(ctx, "http://"+o.Address+"/v1/hosts?state=ready&data_centre="+dataCentre, &hosts)
	return len(hosts.Hosts), err
}

// Status returns the state of all processes.
func (o Operator) Status(ctx context.Context) (query.Status, error) {
	var status query.Status
	err := readJSON(ctx, "http://"+o.Address+"/v1/status", &status)
	return status, err
}

// Records returns the records of the region.
func (o Operator) Records(ctx context.Context) (model.Records, error) {
	var records model.Records
	err := readJSON(ctx, "http://"+o.Address+"/v1/records", &records)
	return records, err
}

// EventsAfter returns events later than the given time.
func (o Operator) EventsAfter(ctx context.Context, after time.Time) (peer.EventsResponse, error) {
	var events peer.EventsResponse
	err := readJSON(ctx, "http://"+o.Address+"/v1/events?limit=10000&after="+strconv.FormatInt(after.UnixMilli(), 10)+".0", &events)
	return events, err
}

// Apply sends one change of records and returns the new revision.
func (o Operator) Apply(ctx context.Context, r *peer.ApplyRecordsRequest) (uint64, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return 0, &fault.Invalid{Field: "records", Reason: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address+"/v1/records", bytes.NewReader(data))
	if err != nil {
		return 0, &fault.Invalid{Field: "address", Reason: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, &fault.Unavailable{What: "operator listener", Reason: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, &fault.Unavailable{What: "change of records", Reason: response.Status + ": " + string(body)}
	}
	var out peer.ApplyRecordsResponse
	if err := json.Unmarshal(body, &out); err != nil {
		return 0, &fault.Corrupt{What: "response", Reason: err.Error()}
	}
	return out.Revision, nil
}

// setRoles fills in the role of each process in a raft group.
func (o Operator) setRoles(ctx context.Context, group string, usage []Usage) error {
	status, err := o.Status(ctx)
	if err != nil {
		return err
	}
	roles := make(map[string]replica.Role)
	for _, r := range status.Replicas {
		for _, g := range r.Groups {
			if g.Group == group {
				roles[r.Host] = g.Role
			}
		}
	}
	for i := range usage {
		usage[i].Role = string(roles[usage[i].Host])
	}
	return nil
}

// Runs reads the run logs of the stand-ins at the given control addresses.
func Runs(ctx context.Context, controls []string) (standin.RunsResponse, error) {
	out := standin.RunsResponse{Targets: map[string]standin.TargetStats{}}
	for _, control := range controls {
		var one standin.RunsResponse
		if err := readJSON(ctx, "http://"+control+"/v1/runs", &one); err != nil {
			return out, err
		}
		out.Runs = append(out.Runs, one.Runs...)
		for name, stats := range one.Targets {
			out.Targets[name] = stats
		}
	}
	return out, nil
}
