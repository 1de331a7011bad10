package guard

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"

	"agatehaven.dev/agatehaven/internal/fault"
)

// handler refuses requests whose bodies are too long or for which there is no room, before
// they are read.
func (g *guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r) // a request of a test without a connection
			return
		}
		limit := g.limits().MaxBodyBytes
		length, unknown := r.ContentLength, r.ContentLength < 0
		if unknown {
			length = min(limit, firstBodyBytes)
		}
		switch {
		case length == 0:
			if !g.move(c, serving) {
				refuse(w, http.StatusServiceUnavailable)
				return
			}
		case length > limit:
			g.refused.count(reasonBody)
			refuse(w, http.StatusRequestEntityTooLarge)
			return
		default:
			g.move(c, readingBody)
			if !g.hold(c, length) {
				refuse(w, http.StatusServiceUnavailable)
				return
			}
			// The server looks at its own request, so that an answer does not wait for a body
			// for which the client has not been asked.
			request := *r
			held := &body{ReadCloser: http.MaxBytesReader(w, r.Body, limit), conn: c, header: w.Header()}
			if unknown {
				held.held, held.limit = length, limit
			}
			request.Body = held
			r = &request
		}
		next.ServeHTTP(w, r)
	})
}

// firstBodyBytes is what a body of unknown length holds at first. It holds more as it is read,
// so that a client that sends little does not hold what the longest body needs.
const firstBodyBytes = 16 << 10

// refuse answers a request of which nothing has been carried out.
func refuse(w http.ResponseWriter, status int) {
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Length", "0")
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(status)
}

// body is the body of a request. Its connection is not closed any more once it has been read.
// The end of a body whose connection was closed before is not reported, so that no request is
// carried out whose answer would be lost.
type body struct {
	io.ReadCloser
	conn *conn
	// header is that of the answer.
	header http.Header
	// read is set at its end, and tooLong once it has exceeded the limit.
	read, tooLong bool
	// bytes is what has been read, held what is held for it and limit the most that is; held is
	// 0 for a body of a known length.
	bytes, held, limit int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.bytes += int64(n); b.held > 0 && b.bytes > b.held {
		more := max(min(2*b.held, b.limit), b.bytes) - b.held
		if !b.conn.guard.hold(b.conn, more) {
			b.header.Set("Connection", "close") // the answer does not wait for the rest
			return 0, noRoom()
		}
		b.held += more
	}
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) && !b.tooLong {
		b.tooLong = true
		b.conn.guard.refused.count(reasonBody)
	}
	if errors.Is(err, io.EOF) && !b.read {
		b.read = true
		if !b.conn.guard.move(b.conn, serving) {
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// BodyTooLong reports whether the body of a request has exceeded the limit of its listener. It
// is known once the body has been read that far.
func BodyTooLong(r *http.Request) bool {
	b, ok := r.Body.(*body)
	return ok && b.tooLong
}

// Hold adds bytes to what the connection of a request holds until the request is answered. It
// returns *fault.Unavailable if there is no room.
func Hold(r *http.Request, bytes int64) error {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || c.guard.hold(c, bytes) {
		return nil
	}
	return noRoom()
}

func noRoom() error {
	return &fault.Unavailable{What: "memory for the request", Reason: "other requests hold it"}
}
