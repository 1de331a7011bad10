package peer

import (
	"errors"
	"time"
	"unicode/utf8"

	"connectrpc.com/connect"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
)

// faultHeader carries an encoded wireFault. Error details of the connect
// protocol are protocol buffer messages, which this project does not use.
const faultHeader = "Agatehaven-Fault-Bin"

// maxFaultText bounds the texts of an error on the wire, in bytes.
const maxFaultText = 2048

// wireFault is an error on the wire. A, B and the numbers hold the fields of
// the error type that Code names.
type wireFault struct {
	Code fault.Code `cbor:"1,keyasint"`
	Text string     `cbor:"2,keyasint"`
	A    string     `cbor:"3,keyasint,omitempty"`
	B    string     `cbor:"4,keyasint,omitempty"`
	C    string     `cbor:"5,keyasint,omitempty"`
	N    uint64     `cbor:"6,keyasint,omitempty"`
	M    uint64     `cbor:"7,keyasint,omitempty"`
}

// encodeFault returns the connect error that carries err.
func encodeFault(err error) *connect.Error {
	w := newWireFault(err)
	out := connect.NewError(connectCode(w.Code), &fault.Remote{RemoteCode: w.Code, Text: w.Text})
	if data, encErr := codec.Marshal(w); encErr == nil {
		out.Meta().Set(faultHeader, connect.EncodeBinaryHeader(data))
	}
	return out
}

func newWireFault(err error) wireFault {
	w := wireFault{Code: fault.CodeOf(err), Text: truncate(err.Error())}
	var coded fault.Coded
	if !errors.As(err, &coded) {
		return w
	}
	switch e := coded.(type) {
	case *fault.NotLeader:
		w.A, w.B = e.Group, e.Leader
	case *fault.ProposalUnknown:
		w.A = e.Group
	case *fault.Unavailable:
		w.A, w.B = e.What, truncate(e.Reason)
	case *fault.LimitExceeded:
		w.A, w.N = e.What, uint64(e.Limit)
	case *fault.Invalid:
		w.A, w.B, w.C = e.Field, truncate(e.Reason), truncate(e.Allowed)
	case *fault.NotFound:
		w.A, w.B = e.Kind, e.Name
	case *fault.RevisionConflict:
		w.N, w.M = e.Expected, e.Current
	case *fault.KeyReused:
		w.A = e.Key
	case *fault.Precondition:
		w.A, w.B = e.What, truncate(e.Reason)
	case *fault.ClockSkew:
		w.A, w.N, w.M = e.What, uint64(e.Skew), uint64(e.Limit)
	}
	return w
}

// toError rebuilds the error that newWireFault encoded.
func (w wireFault) toError() error {
	switch w.Code {
	case fault.CodeNotLeader:
		return &fault.NotLeader{Group: w.A, Leader: w.B}
	case fault.CodeProposalUnknown:
		return &fault.ProposalUnknown{Group: w.A}
	case fault.CodeUnavailable:
		return &fault.Unavailable{What: w.A, Reason: w.B}
	case fault.CodeLimitExceeded:
		return &fault.LimitExceeded{What: w.A, Limit: int64(w.N)}
	case fault.CodeInvalid:
		return &fault.Invalid{Field: w.A, Reason: w.B, Allowed: w.C}
	case fault.CodeNotFound:
		return &fault.NotFound{Kind: w.A, Name: w.B}
	case fault.CodeRevisionConflict:
		return &fault.RevisionConflict{Expected: w.N, Current: w.M}
	case fault.CodeKeyReused:
		return &fault.KeyReused{Key: w.A}
	case fault.CodePrecondition:
		return &fault.Precondition{What: w.A, Reason: w.B}
	case fault.CodeShuttingDown:
		return &fault.ShuttingDown{}
	case fault.CodeClockSkew:
		return &fault.ClockSkew{What: w.A, Skew: time.Duration(w.N), Limit: time.Duration(w.M)}
	}
	return &fault.Remote{RemoteCode: w.Code, Text: w.Text}
}

// decodeFault returns the error in a response's fault header, or nil if there is
// no valid one.
func decodeFault(err *connect.Error) error {
	raw := err.Meta().Get(faultHeader)
	if raw == "" {
		return nil
	}
	data, decErr := connect.DecodeBinaryHeader(raw)
	if decErr != nil {
		return nil
	}
	var w wireFault
	if codec.Unmarshal(data, &w) != nil {
		return nil
	}
	return w.toError()
}

func connectCode(c fault.Code) connect.Code {
	switch c {
	case fault.CodeNotLeader, fault.CodePrecondition, fault.CodeRevisionConflict:
		return connect.CodeFailedPrecondition
	case fault.CodeUnavailable, fault.CodeShuttingDown, fault.CodeClockSkew:
		return connect.CodeUnavailable
	case fault.CodeLimitExceeded:
		return connect.CodeResourceExhausted
	case fault.CodeInvalid:
		return connect.CodeInvalidArgument
	case fault.CodeNotFound:
		return connect.CodeNotFound
	case fault.CodeKeyReused:
		return connect.CodeAlreadyExists
	case fault.CodeCorrupt:
		return connect.CodeDataLoss
	case fault.CodeTimeout, fault.CodeProposalUnknown, fault.CodeSilentConnection, fault.CodeConnectionLost:
		return connect.CodeUnknown
	}
	return connect.CodeInternal
}

// truncate shortens s to at most maxFaultText bytes at a character boundary.
func truncate(s string) string {
	if len(s) <= maxFaultText {
		return s
	}
	end := maxFaultText
	for end > 0 && !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end]
}
