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
		silence(r)
		return
	}
	if refusal := t.begin(ref{body.Key, body.Attempt}, body); refusal != "" {
		writeJSON(w, http.StatusConflict, target.ReasonMessage{Reason: refusal})
		return
	}
	if fault == StartSilentAfterBegin {
		silence(r)
		return
	}
	writeJSON(w, http.StatusAccepted, struct{}{})
}

// silence makes the connection of a request silent.
func silence(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*silent.Conn); ok {
		c.Silence()
	}
}

func requestRef(w http.ResponseWriter, r *http.Request) (ref, bool) {
	attempt, err := strconv.Atoi(r.PathValue("attempt"))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, target.ReasonMessage{Reason: err.Error()})
		return ref{}, false
	}
	return ref{r.PathValue("request"), attempt}, true
}

func (t *Target) serveState(w http.ResponseWriter, r *http.Request) {
	at, ok := requestRef(w, r)
	if !ok {
		return
	}
	if k := t.find(at); k != nil {
		ms, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
		select {
		case <-k.done:
		case <-t.fleet.cfg.Clock.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	t.writeState(w, at)
}

func (t *Target) writeState(w http.ResponseWriter, at ref) {
	m := target.StatusMessage{Request: at.key, Attempt: at.attempt, State: target.TaskAbsent}
	t.mu.Lock()
	revoked, faults := t.revoked[at], t.faults
	m.Incarnation = t.incarnation
	t.mu.Unlock()
	if k := t.find(at); k != nil {
		k.describe(&m, t.fleet.cfg.Clock.Now())
		if faults.ForeignAnswers && m.Answer != nil && k.firstRead() {
			t.describeAnother(&m)
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

// describeAnother replaces m by the result of another task, if there is one.
func (t *Target) describeAnother(m *target.StatusMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for at, k := range t.tasks {
		other := target.StatusMessage{Request: at.key, Attempt: at.attempt, Incarnation: m.Incarnation}
		if k.describe(&other, t.fleet.cfg.Clock.Now()); other.Answer != nil && at.key != m.Request {
			*m = other
			return
		}
	}
}

func (t *Target) serveStop(w http.ResponseWriter, r *http.Request) {
	at, ok := requestRef(w, r)
	if !ok {
		return
	}
	if k := t.find(at); k != nil {
		k.finish(target.TaskFailed, "stopped", nil)
	}
	t.writeState(w, at)
}

func (t *Target) serveCheckpoint(w http.ResponseWriter, r *http.Request) {
	if !t.can(model.CapabilityCheckpoint) {
		writeJSON(w, http.StatusNotFound, target.ReasonMessage{Reason: "checkpoint is not supported"})
		return
	}
	at, ok := requestRef(w, r)
	if !ok {
		return
	}
	faults := t.currentFaults()
	if faults.RefuseCheckpoints {
		writeJSON(w, http.StatusConflict, target.ReasonMessage{Reason: "checkpoints are refused"})
		return
	}
	if k := t.find(at); k != nil {
		k.stop(t.fleet, faults.LoseCheckpoints)
	}
	if faults.SilentCheckpoints {
		silence(r)
		return
	}
	t.writeState(w, at)
}

func (t *Target) serveRevoke(w http.ResponseWriter, r *http.Request) {
	if !t.can(model.CapabilityRevoke) {
		writeJSON(w, http.StatusNotFound, target.ReasonMessage{Reason: "revoke is not supported"})
		return
	}
	if at, ok := requestRef(w, r); ok {
		t.revoke(at)
		t.writeState(w, at)
	}
}
