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

// maxResponseBytes bounds a response; 5,600 hosts take about 3 MiB.
const maxResponseBytes = 64 << 20

// roundPause is the pause after all entry hosts were tried without success.
const roundPause = 500 * time.Millisecond

// client calls the operator API of one of several entry hosts.
type client struct {
	app     *app
	scheme  string
	servers []string
	http    *http.Client
}

func newClient(a *app, servers []string) (*client, error) {
	for _, server := range servers {
		if _, port, err := net.SplitHostPort(server); err != nil || port == "" {
			return nil, &UsageError{Reason: fmt.Sprintf("%q is not an address", server), Next: "give -server as IP:port"}
		}
	}
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
		DialContext:     (&net.Dialer{Timeout: a.try}).DialContext,
		// Every attempt uses a new connection, since a kept one may have
		// become silent.
		DisableKeepAlives: true,
	}
	return &client{app: a, scheme: scheme, servers: servers, http: &http.Client{Transport: transport}}, nil
}

// get reads from the first entry host that answers.
func (c *client) get(ctx context.Context, path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	_, err := c.round(ctx, http.MethodGet, path, nil, out, true)
	return err
}

// send sends a command. It goes to the next entry host only if the previous
// one certainly did not take it; a lost answer gives *LostAnswerError.
func (c *client) send(ctx context.Context, method, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode command")
	}
	_, err = c.round(ctx, method, path, data, out, false)
	return err
}

// resend sends a command that carries its own request id, again and again
// until it has an answer or the deadline of the command passes.
func (c *client) resend(ctx context.Context, path string, body, out any, deadline time.Time) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode command")
	}
	for {
		again, err := c.round(ctx, http.MethodPost, path, data, out, true)
		if !again {
			return err
		}
		if !c.app.env.Clock.Now().Before(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-c.app.env.Clock.After(roundPause):
		}
	}
}

// round tries every entry host once. repeatable tells that a lost answer
// allows another attempt. The first result tells whether a further round
// could succeed.
func (c *client) round(ctx context.Context, method, path string, body []byte, out any, repeatable bool) (bool, error) {
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, c.app.timeout)
	defer cancel()
	var failures []string
	var lost, refused error
	for _, server := range c.servers {
		err := c.once(ctx, server, method, path, body, out)
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
		case withoutEffect(err):
			var remote *fault.Remote
			if errors.As(err, &remote) {
				refused = err
			}
		case !isLost(err):
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

// withoutEffect reports whether the entry host certainly did not take the
// command, and another one may.
func withoutEffect(err error) bool {
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

// isLost reports whether the command may have had its effect.
func isLost(err error) bool {
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

func (c *client) once(ctx context.Context, server, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.app.try)
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
		if beforeSending(err) {
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

// beforeSending reports whether a connection failed before it could carry the
// command.
func beforeSending(err error) bool {
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
