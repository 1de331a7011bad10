package target

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/transport"
)

const (
	// DefaultStartTimeout bounds a start, stop or revoke.
	DefaultStartTimeout = 3 * time.Second
	// DefaultPollMargin bounds a poll in addition to its wait: with waits of
	// 1 s a silent connection is detected within 3 s.
	DefaultPollMargin = 2 * time.Second
	// DefaultMaxConns is an entry host's share of the 64 connections to one
	// target in a region of 7 entry hosts.
	DefaultMaxConns = 9
	// maxResponseBytes has room for an answer in base64 and the other fields.
	maxResponseBytes = MaxAnswerBytes/3*4 + 64<<10
	maxReasonBytes   = 1 << 10
	// maxPools is the number of connection pools above which unused ones are
	// closed.
	maxPools = 4096
)

// HTTPConfig configures the HTTP clients.
type HTTPConfig struct {
	Clock clock.Clock
	// MaxConns bounds the connections to one target; DefaultMaxConns if zero.
	MaxConns int
	// StartTimeout is DefaultStartTimeout if zero.
	StartTimeout time.Duration
	// PollMargin is DefaultPollMargin if zero.
	PollMargin time.Duration
	// DialTimeout is transport.DefaultDialTimeout if zero.
	DialTimeout time.Duration
}

func (c HTTPConfig) withDefaults() HTTPConfig {
	if c.MaxConns <= 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.StartTimeout == 0 {
		c.StartTimeout = DefaultStartTimeout
	}
	if c.PollMargin == 0 {
		c.PollMargin = DefaultPollMargin
	}
	return c
}

// NewHTTPClient returns the client of the targets' HTTP protocol.
func NewHTTPClient(cfg HTTPConfig) Client { return newHTTPClient(cfg) }

func newHTTPClient(cfg HTTPConfig) *httpClient {
	return &httpClient{cfg: cfg.withDefaults(), endpoints: map[string]*endpoint{}}
}

type httpClient struct {
	cfg HTTPConfig

	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// endpoint is one target's address with its connections. inFlight bounds the
// concurrent calls, so that the time limit of a call starts only when a
// connection is free for it.
type endpoint struct {
	address     string
	pool        *transport.Pool
	inFlight    *semaphore.Weighted
	activeCalls int // guarded by httpClient.mu
}

func (c *httpClient) acquireEndpoint(address string) *endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.endpoints[address]
	if !ok {
		if len(c.endpoints) >= maxPools {
			c.closeUnused()
		}
		e = &endpoint{
			address:  address,
			inFlight: semaphore.NewWeighted(int64(c.cfg.MaxConns)),
			pool: transport.NewPool(transport.Config{
				Address: address, MaxConns: c.cfg.MaxConns, DialTimeout: c.cfg.DialTimeout, Clock: c.cfg.Clock,
				Meter: transport.NewMeter(transport.SideClient, "target"),
			}),
		}
		c.endpoints[address] = e
	}
	e.activeCalls++
	return e
}

func (c *httpClient) releaseEndpoint(e *endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.activeCalls--
}

func (c *httpClient) closeUnused() {
	for address, e := range c.endpoints {
		if e.activeCalls == 0 {
			e.pool.Close()
			delete(c.endpoints, address)
		}
	}
}

func (e *endpoint) lease(fresh bool) *transport.Lease {
	if fresh {
		return e.pool.AcquireFresh()
	}
	return e.pool.Acquire()
}

// shortenWait divides the wait of a poll when there are more calls than
// connections, so that a start is not delayed by long polls.
func (c *httpClient) shortenWait(e *endpoint, wait time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	rounds := (e.activeCalls + c.cfg.MaxConns - 1) / c.cfg.MaxConns
	return wait / time.Duration(max(rounds, 1))
}

// Start implements Client.
func (c *httpClient) Start(ctx context.Context, address string, t Task) error {
	body, err := json.Marshal(t)
	if err != nil {
		return &NotSentError{Address: address, Reason: err.Error()}
	}
	e := c.acquireEndpoint(address)
	defer c.releaseEndpoint(e)
	// A reused connection may have gone silent or be closing. The start would
	// get no response, and its effect would be unknown.
	resp, err := c.exchange(ctx, e, call{
		method: http.MethodPost, path: "/v1/tasks", body: body, limit: c.cfg.StartTimeout, fresh: true,
	})
	if err != nil {
		return err
	}
	switch resp.status {
	case http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return &RefusedError{Address: address, Reason: resp.reason()}
	}
	return &StatusError{Address: address, Status: resp.status, Text: resp.reason()}
}

// Poll implements Client.
func (c *httpClient) Poll(ctx context.Context, address, key string, attempt int, wait time.Duration) (TaskStatus, error) {
	e := c.acquireEndpoint(address)
	defer c.releaseEndpoint(e)
	wait = c.shortenWait(e, wait)
	path := taskPath(key, attempt) + "?wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	resp, err := c.exchange(ctx, e, call{method: http.MethodGet, path: path, limit: wait + c.cfg.PollMargin})
	if err != nil {
		return TaskStatus{}, err
	}
	return decodeStatus(address, key, attempt, resp)
}

// Stop implements Client.
func (c *httpClient) Stop(ctx context.Context, address, key string, attempt int) error {
	resp, err := c.post(ctx, address, taskPath(key, attempt)+"/stop", nil)
	if err != nil {
		return err
	}
	if resp.status/100 != 2 && resp.status != http.StatusNotFound {
		return &StatusError{Address: address, Status: resp.status, Text: resp.reason()}
	}
	return nil
}

// Revoke implements Client.
func (c *httpClient) Revoke(ctx context.Context, address, key string, attempt int) (TaskStatus, error) {
	resp, err := c.post(ctx, address, taskPath(key, attempt)+"/revoke", nil)
	if err != nil {
		return TaskStatus{}, err
	}
	return decodeStatus(address, key, attempt, resp)
}

// Checkpoint implements Client.
func (c *httpClient) Checkpoint(ctx context.Context, address, key string, attempt int) (TaskStatus, error) {
	resp, err := c.post(ctx, address, taskPath(key, attempt)+"/checkpoint", nil)
	if err != nil {
		return TaskStatus{}, err
	}
	if resp.status == http.StatusConflict {
		return TaskStatus{}, &RefusedError{Address: address, Reason: resp.reason()}
	}
	return decodeStatus(address, key, attempt, resp)
}

func (c *httpClient) post(ctx context.Context, address, path string, body []byte) (*response, error) {
	e := c.acquireEndpoint(address)
	defer c.releaseEndpoint(e)
	return c.exchange(ctx, e, call{method: http.MethodPost, path: path, body: body, limit: c.cfg.StartTimeout})
}

func taskPath(key string, attempt int) string {
	return "/v1/tasks/" + url.PathEscape(key) + "/" + strconv.Itoa(attempt)
}

// call is one request. Its limit starts when a connection is free for it.
type call struct {
	method string
	path   string
	body   []byte
	limit  time.Duration
	// fresh makes the call dial its own connection.
	fresh bool
}

// response is a response that has been read completely.
type response struct {
	status int
	body   []byte
	lease  *transport.Lease
}

func (r *response) reason() string {
	var m ReasonMessage
	if json.Unmarshal(r.body, &m) == nil && m.Reason != "" {
		return m.Reason
	}
	return string(r.body[:min(len(r.body), maxReasonBytes)])
}

// exchange sends one request once and reads the whole response.
func (c *httpClient) exchange(ctx context.Context, e *endpoint, spec call) (*response, error) {
	if err := e.inFlight.Acquire(ctx, 1); err != nil {
		return nil, &NotSentError{Address: e.address, Reason: err.Error()}
	}
	defer e.inFlight.Release(1)
	silent := &fault.SilentConnection{Address: e.address, Limit: spec.limit}
	callCtx, cancel := clock.WithTimeout(ctx, c.cfg.Clock, spec.limit, silent)
	defer cancel()

	var sent writeTracker
	callCtx = httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	req, err := newRequest(callCtx, spec.method, "http://"+e.address+spec.path, spec.body)
	if err != nil {
		return nil, &NotSentError{Address: e.address, Reason: err.Error()}
	}
	lease := e.lease(spec.fresh)
	defer lease.Release()
	req.Close = spec.fresh
	resp, err := roundTrip(lease, req)
	if err == nil {
		resp.lease = lease
		return resp, nil
	}
	if sent.noBytesSent() {
		return nil, &NotSentError{Address: e.address, Reason: err.Error()}
	}
	lease.Discard()
	if errors.As(context.Cause(callCtx), &silent) {
		return nil, silent
	}
	if ctx.Err() != nil {
		return nil, eris.Wrapf(ctx.Err(), "call to target %s", e.address)
	}
	return nil, &fault.ConnectionLost{Address: e.address, Reason: err.Error()}
}

// newRequest returns a request that net/http cannot send twice: its body has
// no GetBody, and it carries no Idempotency-Key header.
func newRequest(ctx context.Context, method, address string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if method != http.MethodGet {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, address, reader)
	if err != nil {
		return nil, err
	}
	if reader != nil {
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// roundTrip sends the request without an http.Client, so that no redirect is
// followed.
func roundTrip(lease *transport.Lease, req *http.Request) (*response, error) {
	resp, err := lease.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxResponseBytes {
		return nil, &fault.LimitExceeded{What: "response of target", Limit: maxResponseBytes}
	}
	return &response{status: resp.StatusCode, body: data}, nil
}

// writeTracker records whether any byte of a request was written.
type writeTracker struct {
	mu        sync.Mutex
	conn      *transport.Conn
	before    int64
	untracked bool
}

func (s *writeTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*transport.Conn)
	if !ok || s.conn != nil {
		s.untracked = true
		return
	}
	s.conn, s.before = c, c.Writes()
}

// noBytesSent reports whether it is certain that no byte was written. It seals
// the connection, so that a write that another goroutine of net/http is about to
// make fails.
func (s *writeTracker) noBytesSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.untracked {
		return false
	}
	return s.conn == nil || s.conn.Seal() == s.before
}

// decodeStatus returns the state in a response that passes all checks. For one
// that does not, it returns *fault.Corrupt and no state, and discards the
// connection.
func decodeStatus(address, key string, attempt int, resp *response) (TaskStatus, error) {
	if resp.status != http.StatusOK {
		return TaskStatus{}, &StatusError{Address: address, Status: resp.status, Text: resp.reason()}
	}
	var m StatusMessage
	err := json.Unmarshal(resp.body, &m)
	problem := ""
	if err != nil {
		problem = err.Error()
	} else {
		problem = statusProblem(&m, key, attempt)
	}
	if problem != "" {
		resp.lease.Discard()
		return TaskStatus{}, &fault.Corrupt{What: "answer of target " + address, Reason: problem}
	}
	st := TaskStatus{
		Key: m.Request, Attempt: m.Attempt, State: m.State, Progress: m.Progress,
		Answer: m.Answer, Reason: m.Reason, RunMS: m.RunMS, Incarnation: m.Incarnation,
	}
	if st.State == TaskStopped {
		st.Checkpoint, st.Reason = usableCheckpoint(&m)
	}
	return st, nil
}

// usableCheckpoint returns the checkpoint reference of a stopped task, or nil and
// the reason why there is none. An unusable reference is not an error: the task
// has ended, and reading its state again would give the same reference.
func usableCheckpoint(m *StatusMessage) (checkpoint []byte, reason string) {
	switch n := len(m.Checkpoint); {
	case n == 0:
		return nil, "stopped without the reference of a checkpoint"
	case n > model.MaxCheckpointBytes:
		return nil, fmt.Sprintf("stopped, its checkpoint reference of %d bytes exceeds %d", n, model.MaxCheckpointBytes)
	}
	return m.Checkpoint, m.Reason
}

// statusProblem returns why a status message is invalid, or "" if it is valid.
func statusProblem(m *StatusMessage, key string, attempt int) string {
	if m.Request != key || m.Attempt != attempt {
		return fmt.Sprintf("it belongs to request %q attempt %d", m.Request, m.Attempt)
	}
	switch m.State {
	case TaskRunning, TaskAbsent, TaskRevoked, TaskStopped:
		return ""
	case TaskSucceeded, TaskFailed:
	default:
		return fmt.Sprintf("unknown state %q", m.State)
	}
	if len(m.Answer) > MaxAnswerBytes {
		return fmt.Sprintf("answer of %d bytes exceeds %d", len(m.Answer), MaxAnswerBytes)
	}
	if len(m.Answer) != m.AnswerLength {
		return fmt.Sprintf("answer has %d bytes of %d", len(m.Answer), m.AnswerLength)
	}
	sum := sha256.Sum256(m.Answer)
	if hex.EncodeToString(sum[:]) != m.AnswerSHA256 {
		return "SHA-256 of the answer differs"
	}
	return ""
}
