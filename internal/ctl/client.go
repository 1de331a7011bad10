package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/httpapi"
)

// maxResponseBytes limits the size of a response; a list of 5,600 hosts takes
// about 3 MiB.
const maxResponseBytes = 64 << 20

// retryDelay is the wait before the next round after every entry host failed.
const retryDelay = 500 * time.Millisecond

// client calls the operator API, trying the configured entry hosts in order.
type client struct {
	app     *app
	scheme  string
	servers []string
	http    *http.Client
}

func newClient(a *app, servers []string) (*client, error) {
	config, err := a.tls.ClientConfig()
	if err != nil {
		return nil, err
	}
	scheme := "http"
	if a.useTLS || config != nil {
		scheme = "https"
	}
	transport := &http.Transport{
		TLSClientConfig: config,
		DialContext:     (&net.Dialer{Timeout: a.tryTimeout}).DialContext,
		// Every attempt opens a new connection: a kept-alive one may have
		// stopped responding without an error.
		DisableKeepAlives: true,
	}
	return &client{app: a, scheme: scheme, servers: servers, http: &http.Client{Transport: transport}}, nil
}

// get sends a GET request to the entry hosts in order and decodes the first
// answer into out.
func (c *client) get(ctx context.Context, path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	_, err := c.tryEachServer(ctx, http.MethodGet, path, nil, out, true)
	return err
}

// send sends a command that must not run twice. It tries the next entry host
// only if the previous one certainly did not accept the command; a lost answer
// returns *LostAnswerError.
func (c *client) send(ctx context.Context, method, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode command")
	}
	_, err = c.tryEachServer(ctx, method, path, data, out, false)
	return err
}

// sendWithRetry sends a command that carries its own request id, and is
// therefore idempotent, until it has an answer or the deadline passes.
func (c *client) sendWithRetry(ctx context.Context, path string, body, out any, deadline time.Time) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode command")
	}
	for {
		retryable, err := c.tryEachServer(ctx, http.MethodPost, path, data, out, true)
		if !retryable {
			return err
		}
		if !c.app.env.Clock.Now().Before(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-c.app.env.Clock.After(retryDelay):
		}
	}
}

// tryEachServer tries the entry hosts in order, each once. repeatable allows
// another attempt after a lost answer. The first result reports whether
// another round could succeed.
func (c *client) tryEachServer(ctx context.Context, method, path string, body []byte, out any, repeatable bool) (bool, error) {
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, c.app.timeout)
	defer cancel()
	var failures []string
	var lost, refused error
	for _, server := range c.servers {
		err := c.tryServer(ctx, server, method, path, body, out)
		if err == nil {
			return false, nil
		}
		if parent.Err() != nil {
			return false, parent.Err()
		}
		if ctx.Err() != nil && method == http.MethodGet {
			return true, &fault.Timeout{What: "the command", After: c.app.timeout}
		}
		failures = append(failures, fmt.Sprintf("%s: %v", server, err))
		switch {
		case hadNoEffect(err):
			var remote *fault.Remote
			if errors.As(err, &remote) {
				refused = err
			}
		case !mayHaveHadEffect(err):
			return false, err
		case !repeatable:
			return false, &LostAnswerError{Server: server, Cause: err}
		default:
			lost = &LostAnswerError{Server: server, Cause: err}
		}
	}
	if lost != nil && method != http.MethodGet {
		return true, lost
	}
	if refused != nil {
		return true, refused
	}
	return true, &UnreachableError{Failures: failures}
}

// hadNoEffect reports whether the entry host certainly did not accept the
// command and another entry host may.
func hadNoEffect(err error) bool {
	var notSent *notSentError
	if errors.As(err, &notSent) {
		return true
	}
	switch fault.CodeOf(err) {
	case fault.CodeUnavailable, fault.CodeNotLeader, fault.CodeShuttingDown, fault.CodeClockSkew:
		return true
	}
	return false
}

// mayHaveHadEffect reports whether the command may have taken effect although
// it has no answer.
func mayHaveHadEffect(err error) bool {
	var remote *fault.Remote
	if !errors.As(err, &remote) {
		return true
	}
	switch remote.RemoteCode {
	case fault.CodeTimeout, fault.CodeProposalUnknown, fault.CodeSilentConnection, fault.CodeConnectionLost, fault.CodeInternal:
		return true
	}
	return false
}

func (c *client) tryServer(ctx context.Context, server, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.app.tryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+server+path, bytes.NewReader(body))
	if err != nil {
		return &notSentError{cause: err}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		if failedBeforeSending(err) {
			return &notSentError{cause: err}
		}
		return eris.Wrap(err, "no response")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(err, "response is incomplete")
	}
	if response.StatusCode/100 != 2 {
		return remoteError(response.StatusCode, data)
	}
	return eris.Wrap(json.Unmarshal(data, out), "response is not valid")
}

// failedBeforeSending reports whether the connection could not be set up (dial
// or TLS handshake), so that no byte of the command was sent.
func failedBeforeSending(err error) bool {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return true
	}
	var certificate *tls.CertificateVerificationError
	var header tls.RecordHeaderError
	return errors.As(err, &certificate) || errors.As(err, &header)
}

func remoteError(status int, data []byte) error {
	var body httpapi.Failure
	if json.Unmarshal(data, &body) != nil || body.Code == "" {
		return &fault.Remote{
			RemoteCode: fault.CodeInternal,
			Text:       fmt.Sprintf("unexpected response with status %d; is this an operator address?", status),
		}
	}
	return &fault.Remote{RemoteCode: body.Code, Text: body.Message}
}
