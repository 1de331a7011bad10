// Package guard bounds what a process holds for its clients: connections, heads and bodies of
// requests, and what is decoded from them. Each listener has a share of the process's memory
// and descriptors of its own, so that a crowd at one of them does not starve the others.
package guard

import (
	"math"
	"time"
)

// Limits bound the requests of a listener.
type Limits struct {
	// MaxHeadBytes bounds a request line with the header lines and empty lines before it.
	MaxHeadBytes int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// HeadTimeout bounds the time from the first byte of a head to its last one, and from the
	// opening of a connection to the end of its first head.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time between an answer and the next request.
	IdleTimeout time.Duration
}

// DefaultLimits are the limits as long as no others are known.
var DefaultLimits = Limits{
	MaxHeadBytes: 32 << 10, MaxBodyBytes: 256 << 10, HeadTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second,
}

const (
	// bodyTimeout bounds the time from the end of a head to the end of its body.
	bodyTimeout = 30 * time.Second
	// answerTimeout bounds the time from the end of a head to the end of the answer.
	answerTimeout = 30 * time.Second
	// connectionBytes is the memory that an open connection needs: the stack of its
	// goroutine, buffers, and a head of up to freeHeadBytes.
	connectionBytes = 24 << 10
	// freeHeadBytes is the part of headCost that connectionBytes includes.
	freeHeadBytes = 8 << 10
	// headLineBytes is the memory that a header line needs beside its text: an entry in a
	// map of slices.
	headLineBytes = 160
	// headCopies is how often the text of a head is held while it is parsed.
	headCopies = 2
	// elementBytes is the memory that an object or a list in a JSON document needs at most
	// when it is decoded and translated, fieldBytes that of a number, a string or a name.
	elementBytes = 768
	fieldBytes   = 24
)

const (
	// UsableShare is the share of its memory limit that a process may use.
	UsableShare = 0.7
	// runtimeBytes is the memory of a process beside the heap and the stacks of Go: the
	// program text and the C library.
	runtimeBytes = 20 << 20
	// clientShare is the share of the heap that is for clients.
	clientShare = 0.5
	// connectionShare is the share of a listener's memory that is for connections; the rest
	// is for long heads, bodies and what is decoded from them.
	connectionShare = 0.6
	// filesReserve are the descriptors that the platform reserves for files.
	filesReserve = 200
	// socketShare is the share of the other descriptors that is for connections of clients and
	// other processes. The rest is for calls that the process makes, its log and its disk.
	socketShare = 0.5
)

// HeapBytes returns how much memory Go's heap and stacks may use in a process with a memory
// limit.
func HeapBytes(memory int64) int64 {
	return max(int64(float64(memory)*UsableShare)-runtimeBytes, runtimeBytes/4)
}

// Share is what a listener may use.
type Share struct {
	// MaxConnections bounds the open connections.
	MaxConnections int
	// MaxBytes bounds the memory for what connections hold beside connectionBytes, but see
	// aloneFactor.
	MaxBytes int64
}

// unbounded is the share of a listener without one.
var unbounded = Share{MaxConnections: math.MaxInt32, MaxBytes: math.MaxInt64 / aloneFactor}

// Process is the machine's share of a process.
type Process struct {
	// Memory is its memory limit in bytes, and Descriptors that of its descriptors, 0 if it is
	// not known.
	Memory      int64
	Descriptors int
}

// Share returns a part of what the process may use for its clients.
func (p Process) Share(part float64) Share {
	memory := part * float64(HeapBytes(p.Memory)) * clientShare
	s := Share{
		MaxConnections: max(1, int(memory*connectionShare/connectionBytes)),
		MaxBytes:       int64(memory * (1 - connectionShare)),
	}
	if sockets := float64(p.Descriptors-filesReserve) * socketShare; p.Descriptors > 0 {
		s.MaxConnections = max(1, min(s.MaxConnections, int(sockets*part)))
	}
	return s
}

// headCost returns the memory that a head needs beside connectionBytes.
func headCost(bytes, lines int) int64 {
	return max(0, int64(bytes)*headCopies+int64(lines)*headLineBytes-freeHeadBytes)
}

// JSONCost returns a bound of the memory that a JSON document needs to be decoded into
// structures and translated to those of the program.
func JSONCost(document []byte) int64 {
	var elements, fields int64
	for _, c := range document {
		switch c {
		case '{', '[':
			elements++
		case ',', ':':
			fields++
		}
	}
	return elements*elementBytes + fields*fieldBytes + 2*int64(len(document))
}
