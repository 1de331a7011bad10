package guard

import "time"

// phase is what a connection is doing.
type phase int

// Phases of a connection, in the order in which connections are closed if there is no room, but
// see order.
const (
	// readingHead: a request has not been sent completely, or none was sent yet.
	readingHead phase = iota
	// idle: an answer was sent, and nothing since.
	idle
	// readingBody: the head of a request has been read, and its body has not.
	readingBody
	// answering: an answer is being sent.
	answering
	// serving: the request has been read. Such a connection is never closed.
	serving
)

// holder is a connection with what it holds.
type holder struct {
	address string
	phase   phase
	since   time.Time
	// bytes is the memory that it holds beside connectionBytes.
	bytes int64
	// evicted is set once it was chosen to be closed.
	evicted bool
	close   func()
}

// usage is what all connections of an address use.
type usage struct {
	connections int
	bytes       int64
}

// table decides which connections a listener serves. It does no I/O and reads no clock.
type table struct {
	share     Share
	holders   map[*holder]struct{}
	addresses map[string]usage
	bytes     int64
	// now is the latest time that the table was told.
	now time.Time
	// closing is the number of holders that were evicted and have not ended yet.
	closing int
}

// maxClosing is the number of evicted connections that may not have ended yet, as a part of
// the share's connections. Beyond it new connections are refused, so that the total is bounded.
const maxClosing = 8

// answerGrace is how long an answer may take before its connection may be closed: an ordinary
// client reads it at once, and its request has been carried out.
const answerGrace = time.Second

// headGrace is how long a new connection may take to send its head before it counts as silent.
const headGrace = time.Second

// aloneFactor is how many times a share's bytes a connection may hold while no other one holds
// any.
const aloneFactor = 3

func newTable(share Share) *table {
	return &table{share: share, holders: map[*holder]struct{}{}, addresses: map[string]usage{}}
}

// admit adds a connection. If there is no room, it returns the connection to close for it, or
// reports that the new one is to be refused.
func (t *table) admit(h *holder) (victim *holder, ok bool) {
	t.observe(h.since)
	if len(t.holders)-t.closing >= t.share.MaxConnections {
		if t.closing > t.share.MaxConnections/maxClosing {
			return nil, false
		}
		own := t.addresses[h.address].connections + 1
		victim = t.choose(h, func(c *holder) (int64, bool) {
			n := t.addresses[c.address].connections
			return int64(n), n >= own || c.address == h.address
		})
		if victim == nil {
			return nil, false
		}
		t.evict(victim)
	}
	t.holders[h] = struct{}{}
	t.add(h, 1, 0)
	return victim, true
}

// hold adds bytes to what a connection holds. If there is no room, it returns the connections
// to close for it, or reports that this one is to be refused. It closes none for one that it
// refuses.
func (t *table) hold(h *holder, bytes int64) (victims []*holder, ok bool) {
	if h.evicted {
		return nil, false
	}
	own := t.addresses[h.address].bytes + bytes
	var taken []int64
	for t.bytes+bytes > t.share.MaxBytes {
		if t.bytes == h.bytes && t.bytes+bytes <= aloneFactor*t.share.MaxBytes {
			break
		}
		victim := t.choose(h, func(c *holder) (int64, bool) {
			n := t.addresses[c.address].bytes
			return n, c.bytes > 0 && (n >= own || c.address == h.address)
		})
		if victim == nil {
			for i, v := range victims {
				t.restore(v, taken[i])
			}
			return nil, false
		}
		victims, taken = append(victims, victim), append(taken, victim.bytes)
		t.evict(victim)
	}
	t.add(h, 0, bytes)
	return victims, true
}

// choose returns the connection to close in favour of another one: of the addresses that use
// most, the one in the earliest phase for longest. Nil means that there is none.
func (t *table) choose(favoured *holder, weigh func(c *holder) (weight int64, mayClose bool)) *holder {
	var best *holder
	var heaviest int64
	idleFirst := t.idleFirst()
	before := func(a, b *holder) bool {
		if x, y := t.order(a, idleFirst), t.order(b, idleFirst); x != y {
			return x < y
		}
		return a.since.Before(b.since)
	}
	for c := range t.holders {
		if c == favoured || c.evicted || c.phase == serving || (c.phase == answering && t.now.Sub(c.since) < answerGrace) {
			continue
		}
		weight, mayClose := weigh(c)
		if !mayClose {
			continue
		}
		if best == nil || weight > heaviest || (weight == heaviest && before(c, best)) {
			best, heaviest = c, weight
		}
	}
	return best
}

// order returns the phase by which a connection is ranked. A new connection may not have had
// the time to send its head: if idleFirst is set, it ranks after the idle ones.
func (t *table) order(h *holder, idleFirst bool) phase {
	if idleFirst && t.isNew(h) {
		return idle + 1
	}
	if h.phase > idle {
		return h.phase + 1
	}
	return h.phase
}

// isNew reports whether a connection was opened a moment ago and has sent no request.
func (t *table) isNew(h *holder) bool {
	return h.phase == readingHead && t.now.Sub(h.since) < headGrace
}

// idleFirst reports whether more connections are idle than new. The more numerous ones make
// room, so that neither can take that of the other.
func (t *table) idleFirst() bool {
	excess := 0
	for h := range t.holders {
		switch {
		case h.evicted:
		case h.phase == idle:
			excess++
		case t.isNew(h):
			excess--
		}
	}
	return excess > 0
}

// evict takes what a connection holds from it. It stays in the table until it has ended.
func (t *table) evict(h *holder) {
	h.evicted = true
	t.closing++
	t.add(h, -1, -h.bytes)
}

// restore takes back an eviction, and returns to a connection what it held.
func (t *table) restore(h *holder, bytes int64) {
	h.evicted = false
	t.closing--
	t.add(h, 1, bytes)
}

// add changes what the connections of an address use.
func (t *table) add(h *holder, connections int, bytes int64) {
	h.bytes += bytes
	t.bytes += bytes
	u := t.addresses[h.address]
	u.connections += connections
	u.bytes += bytes
	if u == (usage{}) {
		delete(t.addresses, h.address)
		return
	}
	t.addresses[h.address] = u
}

// observe notes the time.
func (t *table) observe(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
}

// move sets the phase of a connection. An idle one holds nothing.
func (t *table) move(h *holder, to phase, now time.Time) {
	t.observe(now)
	h.phase, h.since = to, now
	if to == idle && !h.evicted {
		t.add(h, 0, -h.bytes)
	}
}

// remove takes a connection that has ended from the table.
func (t *table) remove(h *holder) {
	if _, known := t.holders[h]; !known {
		return
	}
	delete(t.holders, h)
	if h.evicted {
		t.closing--
		return
	}
	t.add(h, -1, -h.bytes)
}
