package standin

import (
	"encoding/json"
	"net/http"

	"agatehaven.dev/agatehaven/internal/target"
)

// FaultsRequest sets the fault switches of targets.
type FaultsRequest struct {
	// Targets holds the names of the targets; empty means all.
	Targets []string `json:"targets,omitempty"`
	Faults  Faults   `json:"faults"`
}

// RunsResponse is the run log with counters per target.
type RunsResponse struct {
	Runs    []Run                  `json:"runs"`
	Targets map[string]TargetStats `json:"targets"`
}

// drainRequest sets whether a target announces that it is leaving.
type drainRequest struct {
	Leaving bool `json:"leaving"`
}

func (f *Fleet) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/hosts/{host}/reboot", f.serveReboot)
	mux.HandleFunc("POST /v1/hosts/{host}/drain", f.serveDrain)
	mux.HandleFunc("POST /v1/faults", f.serveFaults)
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, f.runsResponse(r.URL.Query().Get("request")))
	})
	return mux
}

func (f *Fleet) serveReboot(w http.ResponseWriter, r *http.Request) {
	var m target.RebootMessage
	if !decodeBody(w, r, &m) {
		return
	}
	if err := f.Reboot(r.PathValue("host"), m.OrderID); err != nil {
		writeJSON(w, http.StatusNotFound, target.ReasonMessage{Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusAccepted, struct{}{})
}

func (f *Fleet) serveDrain(w http.ResponseWriter, r *http.Request) {
	m := drainRequest{Leaving: true}
	if r.ContentLength != 0 && !decodeBody(w, r, &m) {
		return
	}
	t := f.target(r.PathValue("host"))
	if t == nil {
		writeJSON(w, http.StatusNotFound, target.ReasonMessage{Reason: "unknown host"})
		return
	}
	t.Drain(m.Leaving)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (f *Fleet) serveFaults(w http.ResponseWriter, r *http.Request) {
	var m FaultsRequest
	if !decodeBody(w, r, &m) {
		return
	}
	chosen := f.targets
	if len(m.Targets) > 0 {
		chosen = nil
		for _, name := range m.Targets {
			t := f.target(name)
			if t == nil {
				writeJSON(w, http.StatusNotFound, target.ReasonMessage{Reason: "unknown target " + name})
				return
			}
			chosen = append(chosen, t)
		}
	}
	for _, t := range chosen {
		t.SetFaults(m.Faults)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// runsResponse returns the runs of one request, or all runs if request is
// empty, with the counters of all targets.
func (f *Fleet) runsResponse(request string) RunsResponse {
	out := RunsResponse{Runs: []Run{}, Targets: map[string]TargetStats{}}
	for _, r := range f.log.all() {
		if request == "" || r.Request == request {
			out.Runs = append(out.Runs, r)
		}
	}
	for _, t := range f.targets {
		out.Targets[t.info.Name] = t.stats()
	}
	return out
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		writeJSON(w, http.StatusBadRequest, target.ReasonMessage{Reason: err.Error()})
		return false
	}
	return true
}
