package ctl

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Exit codes of the tool.
const (
	exitOK            = 0
	exitFailure       = 1
	exitUsage         = 2
	exitConflict      = 3
	exitNotEverywhere = 4
	exitRefused       = 5
)

const exitCodeHelp = `
Exit codes:
  0  ok
  1  failure
  2  wrong usage or invalid input
  3  conflict: the records changed since the revision given
  4  not reached everywhere: a part of the region did not answer, or has not
     the revision in force; what was reached is printed
  5  refused by a rule, such as a floor or a limit
`

// Codes of the errors in this package.
const (
	codeUsage         fault.Code = "usage"
	codeUnreachable   fault.Code = "unreachable"
	codeLostAnswer    fault.Code = "lost_answer"
	codeNotEverywhere fault.Code = "not_everywhere"
)

// UsageError reports wrong usage of the tool. Next is the advice printed after
// the error.
type UsageError struct{ Reason, Next string }

func (e *UsageError) Error() string { return e.Reason }

// Code implements fault.Coded.
func (e *UsageError) Code() fault.Code { return codeUsage }

// UnreachableError reports that no entry host answered. The command had no
// effect.
type UnreachableError struct{ Failures []string }

func (e *UnreachableError) Error() string {
	return "no entry host answered:\n  " + strings.Join(e.Failures, "\n  ")
}

// Code implements fault.Coded.
func (e *UnreachableError) Code() fault.Code { return codeUnreachable }

// LostAnswerError reports that a command was sent but its answer was lost, so
// it may have taken effect.
type LostAnswerError struct {
	Server string
	Cause  error
}

func (e *LostAnswerError) Error() string {
	return fmt.Sprintf("the answer of %s was lost, the command may have had its effect: %v", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *LostAnswerError) Unwrap() error { return e.Cause }

// Code implements fault.Coded.
func (e *LostAnswerError) Code() fault.Code { return codeLostAnswer }

// LeaderError reports why the leader of a region of jobs with steps did not answer a question.
// Next is the advice printed after the error.
type LeaderError struct {
	LeaderCode   fault.Code
	Reason, Next string
}

func (e *LeaderError) Error() string { return e.Reason }

// Code implements fault.Coded.
func (e *LeaderError) Code() fault.Code { return e.LeaderCode }

// NotEverywhereError reports that parts of the region were not reached or do
// not have the revision in force. Names lists them; Next is the advice printed
// after the error.
type NotEverywhereError struct {
	What  string
	Names []string
	Next  string
}

func (e *NotEverywhereError) Error() string {
	return e.What + ": " + strings.Join(e.Names, ", ")
}

// Code implements fault.Coded.
func (e *NotEverywhereError) Code() fault.Code { return codeNotEverywhere }

// notSentError reports an attempt of which no byte was sent.
type notSentError struct{ cause error }

func (e *notSentError) Error() string    { return e.cause.Error() }
func (e *notSentError) Unwrap() error    { return e.cause }
func (e *notSentError) Code() fault.Code { return codeUnreachable }

// reportError prints an error and the advice for it, if any, and returns the
// exit code.
func (a *app) reportError(err error) int {
	if err == nil {
		return exitOK
	}
	if errors.Is(err, context.Canceled) {
		a.printNotice("agatehavenctl: interrupted")
		return exitFailure
	}
	_, _ = fmt.Fprintf(a.env.Stderr, "agatehavenctl: %v\n", err)
	if next := advice(err); next != "" {
		_, _ = fmt.Fprintf(a.env.Stderr, "next: %s\n", next)
	}
	return exitCode(err)
}

// isResumable reports whether a change that failed with err has no definite
// answer yet, so that it can be sent again with the same request id.
func isResumable(err error) bool {
	switch fault.CodeOf(err) {
	case codeLostAnswer, codeUnreachable, fault.CodeUnavailable, fault.CodeNotLeader, fault.CodeShuttingDown, fault.CodeClockSkew:
		return true
	}
	return errors.Is(err, context.Canceled)
}

func exitCode(err error) int {
	switch fault.CodeOf(err) {
	case codeUsage, fault.CodeInvalid:
		return exitUsage
	case fault.CodeRevisionConflict:
		return exitConflict
	case codeNotEverywhere:
		return exitNotEverywhere
	case fault.CodePrecondition, fault.CodeLimitExceeded, fault.CodeKeyReused:
		return exitRefused
	}
	return exitFailure
}

func advice(err error) string {
	var usage *UsageError
	if errors.As(err, &usage) {
		return usage.Next
	}
	var partial *NotEverywhereError
	if errors.As(err, &partial) {
		return partial.Next
	}
	var leader *LeaderError
	if errors.As(err, &leader) {
		return leader.Next
	}
	switch fault.CodeOf(err) {
	case codeUnreachable:
		return "check the addresses given with -server, or name other entry hosts"
	case codeLostAnswer, fault.CodeTimeout, fault.CodeProposalUnknown:
		return "look at the current state (hosts, list, replicas status) before you repeat the command"
	case fault.CodeRevisionConflict:
		return "another operator changed the records; read them with `agatehavenctl list`, then apply again"
	case fault.CodePrecondition:
		return "see `agatehavenctl explain` for the reasons and `agatehavenctl pools` for floors"
	case fault.CodeLimitExceeded:
		return "wait until entries are freed, or raise the limit in the settings of the entry hosts"
	case fault.CodeUnavailable, fault.CodeNotLeader:
		return "see `agatehavenctl status` for groups without a leader, then repeat the command"
	case fault.CodeNotFound:
		return "check the name; `agatehavenctl list` and `agatehavenctl hosts` show all names"
	case fault.CodeInvalid:
		return "correct the input named above and repeat the command"
	}
	return ""
}
