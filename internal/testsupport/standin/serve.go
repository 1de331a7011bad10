package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/target"
	"agatehaven.dev/agatehaven/internal/testsupport/silent"
)

const (
	serverHeaderTimeout = 5 * time.Second
	maxBodyBytes        = 1 << 20
)

func (t *Target) serveStart(w http.ResponseWriter, r *http.Request) {
	var body target.Task
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, target.ReasonMessage{Reason: err.Error()})
		return
	}
	fault := t.currentFaults().Start
	if fault == StartSilentBeforeBegin {
		silenceConnection(r)
		return
	}
	if refusal := t.startTask(attemptRef{body.Key, body.Attempt}, body); refusal != "" {
		writeJSON(w, http.StatusConflict, target.ReasonMessage{Reason: refusal})
		return
	}
	if fault == StartSilentAfterBegin {
		silenceConnection(r)
		return
	}
	writeJSON(w, http.StatusAccepted, struct{}{})
}

// silenceConnection makes the connection of a request silent.
func silenceConnection(r *http.Request) {
	if c, ok := r.Context().Value(connContextKey{}).(*silent.Conn); ok {
		c.Silence()
	}
}

func parseAttemptRef(w http.ResponseWriter, r *http.Request) (attemptRef, bool) {
	attempt, err := strconv.Atoi(r.PathValue("attempt"))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, target.ReasonMessage{Reason: err.Error()})
		return attemptRef{}, false
	}
	return attemptRef{r.PathValue("request"), attempt}, true
}

func (t *Target) serveState(w http.ResponseWriter, r *http.Request) {
	ref, ok := parseAttemptRef(w, r)
	if !ok {
		return
	}
	if k := t.findTask(ref); k != nil {
		ms, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
		select {
		case <-k.done:
		case <-t.fleet.cfg.Clock.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	t.writeState(w, ref)
}

func (t *Target) writeState(w http.ResponseWriter, ref attemptRef) {
	m := target.StatusMessage{Request: ref.key, Attempt: ref.attempt, State: target.TaskAbsent}
	t.mu.Lock()
	revoked, faults := t.revoked[ref], t.faults
	m.Incarnation = t.incarnation
	t.mu.Unlock()
	if k := t.findTask(ref); k != nil {
		k.fillStatus(&m, t.fleet.cfg.Clock.Now())
		if faults.ForeignAnswers && m.Answer != nil && k.markRead() {
			t.replaceByOtherResult(&m)
		}
	} else if revoked {
		m.State = target.TaskRevoked
	}
	if m.Answer != nil {
		sum := sha256.Sum256(m.Answer)
		m.AnswerLength, m.AnswerSHA256 = len(m.Answer), hex.EncodeToString(sum[:])
	}
	if faults.TruncateAnswers {
		m.Answer = m.Answer[:len(m.Answer)/2]
	}
	if faults.MismatchAnswers {
		m.Attempt++
	}
	writeJSON(w, http.StatusOK, m)
}

// replaceByOtherResult replaces m by the result of a task of another request,
// if there is one.
func (t *Target) replaceByOtherResult(m *target.StatusMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ref, k := range t.tasks {
		other := target.StatusMessage{Request: ref.key, Attempt: ref.attempt, Incarnation: m.Incarnation}
		if k.fillStatus(&other, t.fleet.cfg.Clock.Now()); other.Answer != nil && ref.key != m.Request {
			*m = other
			return
		}
	}
}

func (t *Target) serveStop(w http.ResponseWriter, r *http.Request) {
	ref, ok := parseAttemptRef(w, r)
	if !ok {
		return
	}
	if k := t.findTask(ref); k != nil {
		k.finish(target.TaskFailed, "stopped", nil)
	}
	t.writeState(w, ref)
}

func (t *Target) serveCheckpoint(w http.ResponseWriter, r *http.Request) {
	if !t.hasCapability(model.CapabilityCheckpoint) {
		writeJSON(w, http.StatusNotFound, target.ReasonMessage{Reason: "checkpoint is not supported"})
		return
	}
	ref, ok := parseAttemptRef(w, r)
	if !ok {
		return
	}
	faults := t.currentFaults()
	if faults.RefuseCheckpoints {
		writeJSON(w, http.StatusConflict, target.ReasonMessage{Reason: "checkpoints are refused"})
		return
	}
	if k := t.findTask(ref); k != nil {
		k.stopAtCheckpoint(t.fleet, faults.LoseCheckpoints)
	}
	if faults.SilentCheckpoints {
		silenceConnection(r)
		return
	}
	t.writeState(w, ref)
}

func (t *Target) serveRevoke(w http.ResponseWriter, r *http.Request) {
	if !t.hasCapability(model.CapabilityRevoke) {
		writeJSON(w, http.StatusNotFound, target.ReasonMessage{Reason: "revoke is not supported"})
		return
	}
	if ref, ok := parseAttemptRef(w, r); ok {
		t.revoke(ref)
		t.writeState(w, ref)
	}
}
