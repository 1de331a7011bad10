package ctl

import (
	"context"
	"fmt"
	"net"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/link"
)

// jobsWithSteps is the heading of the commands for a region of jobs with steps. They call the
// link, not the operator API.
const jobsWithSteps = "a region of jobs with steps"

// linkHelp is the part of the help that the commands of such a region share.
const linkHelp = `
For a region of jobs with steps: -server is the link address of any core or
entry host, and the tool goes on to the leader that it names. The link has no
TLS.`

// leaderCall makes a call at a host and returns the outcome.
type leaderCall func(ctx context.Context, host *link.Client) (*link.Answer, error)

// callLeader makes a call that changes nothing at the leader. It asks the given hosts in
// order, and the leader that one of them names. Errors: *UsageError, *UnreachableError if no
// leader answered, and those of the leader.
func (a *app) callLeader(ctx context.Context, call leaderCall) error {
	servers, err := a.givenServers()
	if err != nil {
		return err
	}
	if a.useTLS || a.tls.CA != "" || a.tls.Certificate != "" || a.tls.Key != "" {
		return &UsageError{Reason: "the link of a region of jobs with steps has no TLS", Next: "leave the TLS flags out"}
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	var failures []string
	for _, server := range servers {
		answer, err := a.callLink(ctx, server, call)
		if err == nil && answer.Code == link.NotLeader && answer.Leader != "" {
			_, port, _ := net.SplitHostPort(server) // givenServers has checked it
			server = net.JoinHostPort(answer.Leader, port)
			answer, err = a.callLink(ctx, server, call)
		}
		switch {
		case ctx.Err() != nil:
			return &fault.Timeout{What: "the command", After: a.timeout}
		case err != nil:
			failures = append(failures, fmt.Sprintf("%s: %v", server, err))
		case answer.Code == link.NotLeader:
			failures = append(failures, server+": does not lead and knows no leader")
		default:
			return answerError(answer)
		}
	}
	return &UnreachableError{Failures: failures}
}

// callLink makes a call at an address.
func (a *app) callLink(ctx context.Context, address string, call leaderCall) (*link.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, a.tryTimeout)
	defer cancel()
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, &notSentError{cause: err}
	}
	return call(ctx, link.NewClients(port).To(host))
}

// answerError returns *LeaderError unless the leader has answered the question.
func answerError(a *link.Answer) error {
	switch a.Code {
	case link.Done:
		return nil
	case link.NoQueue, link.NoJob:
		return &LeaderError{fault.CodeNotFound, a.Reason, "check the name; a finished job is not known any more"}
	case link.Invalid:
		return &LeaderError{fault.CodeInvalid, a.Reason, "correct the input named above and repeat the command"}
	}
	return &LeaderError{fault.CodeUnavailable, "the leader cannot answer now: " + a.Reason, "repeat the command in a second"}
}
