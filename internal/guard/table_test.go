package guard

import (
	"strings"
	"testing"
	"time"
)

// at returns a time some seconds after the beginning of a test.
func at(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

// connect admits a connection in a phase since a time, and returns it with the one that was
// closed for it.
func connect(t *testing.T, tab *table, address string, p phase, since time.Time) (h, victim *holder) {
	t.Helper()
	h = &holder{address: address, phase: p, since: since}
	victim, ok := tab.admit(h)
	if !ok {
		t.Fatalf("connection of %s is refused", address)
	}
	return h, victim
}

// The load: silent connections up to the limit. The ones that are silent for longest make room.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	tab := newTable(Share{MaxConnections: 3, MaxBytes: 100})
	busy, _ := connect(t, tab, "a", serving, at(0))
	connect(t, tab, "a", idle, at(1))
	oldest, _ := connect(t, tab, "a", readingHead, at(2))
	if _, victim := connect(t, tab, "a", readingHead, at(3)); victim != oldest {
		t.Errorf("closed %+v, want the head that is unfinished for longest", victim)
	}
	tab.remove(oldest)
	if _, victim := connect(t, tab, "a", readingHead, at(4)); victim == busy || victim == nil || victim.phase != readingHead {
		t.Errorf("closed %+v, want an unfinished head", victim)
	}
}

// The load: connections that all wait for an answer. A new one is refused, and none of those.
func TestServedConnectionsStay(t *testing.T) {
	tab := newTable(Share{MaxConnections: 2, MaxBytes: 100})
	connect(t, tab, "a", serving, at(0))
	connect(t, tab, "b", serving, at(0))
	if victim, ok := tab.admit(&holder{address: "c"}); ok || victim != nil {
		t.Errorf("a third connection is admitted, %+v closed for it", victim)
	}
	if len(tab.holders) != 2 {
		t.Errorf("%d connections, want 2", len(tab.holders))
	}
}

// The load: one address opens as many connections as it can. Those of the others stay.
func TestOneAddressDoesNotTakeThePartOfOthers(t *testing.T) {
	tab := newTable(Share{MaxConnections: 4, MaxBytes: 100})
	other, _ := connect(t, tab, "calm", readingHead, at(0))
	connect(t, tab, "crowd", idle, at(1))
	connect(t, tab, "crowd", idle, at(2))
	connect(t, tab, "crowd", idle, at(3))
	for i := range 20 {
		_, victim := connect(t, tab, "crowd", readingHead, at(4+i))
		if victim == other || victim == nil {
			t.Fatalf("closed %+v for a connection of the crowd", victim)
		}
		tab.remove(victim)
	}
	if _, victim := connect(t, tab, "calm", readingHead, at(40)); victim == nil || victim.address != "crowd" {
		t.Errorf("closed %+v, want one of the crowd", victim)
	}
}

// The load: connections are opened faster than the closed ones end. Their total is bounded.
func TestClosedConnectionsCountUntilTheyEnd(t *testing.T) {
	tab := newTable(Share{MaxConnections: 80, MaxBytes: 100})
	var closed []*holder
	admitted := 0
	for i := range 1000 {
		victim, ok := tab.admit(&holder{address: "a", since: at(i)})
		if ok {
			admitted++
		}
		if victim != nil {
			closed = append(closed, victim)
		}
	}
	if most := 80 + 80/maxClosing + 1; admitted != most || len(tab.holders) != most {
		t.Errorf("%d connections admitted, %d open, want %d", admitted, len(tab.holders), most)
	}
	for _, h := range closed {
		tab.remove(h)
		tab.remove(h)
	}
	if len(tab.holders) != 80 || tab.closing != 0 || tab.addresses["a"].connections != 80 {
		t.Errorf("%d open, %d closing, %+v, want 80 open", len(tab.holders), tab.closing, tab.addresses["a"])
	}
}

// The load: bodies and heads of which the rest does not come. They make room for a request that
// holds less, and for none that would hold more than all may.
func TestUnfinishedRequestsMakeRoom(t *testing.T) {
	tab := newTable(Share{MaxConnections: 10, MaxBytes: 100})
	silent, _ := connect(t, tab, "crowd", readingBody, at(0))
	later, _ := connect(t, tab, "crowd", readingBody, at(1))
	calm, _ := connect(t, tab, "calm", readingBody, at(2))
	for _, h := range []*holder{silent, later} {
		if victims, ok := tab.hold(h, 45); !ok || victims != nil {
			t.Fatal("a body within the share is refused")
		}
	}
	if victims, ok := tab.hold(calm, 20); !ok || len(victims) != 1 || victims[0] != silent {
		t.Errorf("closed %v, %t, want the body that is unfinished for longest", victims, ok)
	}
	if victims, ok := tab.hold(later, 60); ok || len(victims) != 0 {
		t.Errorf("a request of the address that holds most takes the room of others: %v", victims)
	}
	if tab.bytes != 65 || tab.addresses["crowd"].bytes != 45 || tab.addresses["calm"].bytes != 20 {
		t.Errorf("%d bytes held, %+v", tab.bytes, tab.addresses)
	}
	tab.move(later, idle, at(3))
	tab.remove(calm)
	tab.remove(silent)
	if tab.bytes != 0 || len(tab.addresses) != 1 {
		t.Errorf("%d bytes held, %+v, want none after the requests", tab.bytes, tab.addresses)
	}
}

// The load: a small document that would hold more than all may, while others are sent. It is
// refused, and closes none of them.
func TestRefusedRequestsCloseNone(t *testing.T) {
	tab := newTable(Share{MaxConnections: 10, MaxBytes: 100})
	hostile, _ := connect(t, tab, "a", serving, at(0))
	busy, _ := connect(t, tab, "a", serving, at(0))
	calm, _ := connect(t, tab, "a", readingBody, at(1))
	tab.hold(busy, 10)
	tab.hold(calm, 10)
	for _, bytes := range []int64{95, 1000} {
		if victims, ok := tab.hold(hostile, bytes); ok || len(victims) != 0 || calm.evicted {
			t.Errorf("%d bytes: admitted %t, closed %v, want a refusal", bytes, ok, victims)
		}
	}
	if tab.bytes != 20 || tab.closing != 0 || tab.addresses["a"] != (usage{connections: 3, bytes: 20}) {
		t.Errorf("%d bytes held, %d closing, %+v", tab.bytes, tab.closing, tab.addresses)
	}
}

// The load: what was read completely and waits for an answer. It is not closed for others.
func TestWhatIsServedKeepsItsRoom(t *testing.T) {
	tab := newTable(Share{MaxConnections: 10, MaxBytes: 100})
	busy, _ := connect(t, tab, "a", serving, at(0))
	next, _ := connect(t, tab, "b", readingBody, at(1))
	tab.hold(busy, 90)
	if victims, ok := tab.hold(next, 20); ok || len(victims) != 0 {
		t.Errorf("admitted %t, closed %v, want a refusal", ok, victims)
	}
}

// A single request may be longer than the share of all, since it is served in calm.
func TestOnlyRequestMayHoldMore(t *testing.T) {
	tab := newTable(Share{MaxConnections: 10, MaxBytes: 100})
	alone, _ := connect(t, tab, "a", serving, at(0))
	if _, ok := tab.hold(alone, 250); !ok {
		t.Error("the only request is refused")
	}
	if _, ok := tab.hold(alone, 100); ok {
		t.Error("the only request has no bound")
	}
	next, _ := connect(t, tab, "b", serving, at(0))
	if _, ok := tab.hold(next, 1); ok {
		t.Error("a request is admitted beside it")
	}
}

// The load: connections that were used once fill the listener, and new ones come faster than
// their heads. The new ones are not closed for each other.
func TestNewConnectionsAmongIdleOnes(t *testing.T) {
	tab := newTable(Share{MaxConnections: 20, MaxBytes: 100})
	for i := range 20 {
		connect(t, tab, "a", idle, at(i))
	}
	for i := range 5 {
		_, victim := connect(t, tab, "a", readingHead, at(20).Add(time.Duration(i)*time.Millisecond))
		if victim == nil || victim.phase != idle || victim.since != at(i) {
			t.Fatalf("closed %+v, want the connection that is idle for longest", victim)
		}
		tab.remove(victim)
	}
}

// The load: new connections faster than their heads, beside some idle ones, which stay.
func TestIdleConnectionsAmongNewOnes(t *testing.T) {
	tab := newTable(Share{MaxConnections: 20, MaxBytes: 100})
	for range 9 {
		connect(t, tab, "a", idle, at(0))
	}
	for i := range 100 {
		_, victim := connect(t, tab, "a", readingHead, at(20).Add(time.Duration(i)*time.Millisecond))
		if victim == nil {
			continue
		}
		if victim.phase != readingHead {
			t.Fatalf("closed %+v, want a new connection", victim)
		}
		tab.remove(victim)
	}
}

// The load: a crowd of many addresses connects while an answer to a busier address is being
// sent. The answer is finished, unless its client does not read it.
func TestAnswersAreFinished(t *testing.T) {
	tab := newTable(Share{MaxConnections: 4, MaxBytes: 100})
	connect(t, tab, "busy", serving, at(10))
	answer, _ := connect(t, tab, "busy", answering, at(10))
	connect(t, tab, "crowd 1", readingHead, at(0))
	connect(t, tab, "crowd 2", readingHead, at(1))
	_, victim := connect(t, tab, "crowd 3", readingHead, at(10))
	if victim == nil || victim.address != "crowd 1" {
		t.Errorf("closed %+v, want the head that is unfinished for longest", victim)
	}
	tab.remove(victim)
	if _, victim = connect(t, tab, "crowd 4", readingHead, at(12)); victim != answer {
		t.Errorf("closed %+v, want the answer that is not read", victim)
	}
}

// The load: a closed connection whose goroutine still reads.
func TestClosedConnectionHoldsNothing(t *testing.T) {
	tab := newTable(Share{MaxConnections: 1, MaxBytes: 100})
	first, _ := connect(t, tab, "a", readingBody, at(0))
	tab.hold(first, 50)
	_, victim := connect(t, tab, "a", readingHead, at(1))
	if _, ok := tab.hold(first, 10); victim != first || ok || tab.bytes != 0 {
		t.Errorf("closed %+v, which holds more: %t; %d bytes", victim, ok, tab.bytes)
	}
	tab.move(first, idle, at(2))
	tab.remove(first)
	if tab.bytes != 0 || tab.addresses["a"].connections != 1 {
		t.Errorf("%d bytes, %+v", tab.bytes, tab.addresses)
	}
}

// The load: as many clients as each listener admits, holding as much as they may. Their sum
// stays below the memory that a process may use, and below half of its descriptors.
func TestSharesFitIntoTheProcess(t *testing.T) {
	for _, p := range []Process{
		{Memory: 96 << 20, Descriptors: 600}, {Memory: 184 << 20, Descriptors: 4100}, {Memory: 408 << 20, Descriptors: 4096}, {Memory: 4 << 30},
	} {
		var memory int64
		connections := 0
		for _, part := range []float64{0.55, 0.2, 0.2, 0.025, 0.025} {
			s := p.Share(part)
			if s.MaxConnections < 1 || s.MaxBytes < 1 {
				t.Errorf("%+v: part %v is %+v", p, part, s)
			}
			memory += int64(s.MaxConnections)*connectionBytes + s.MaxBytes
			connections += s.MaxConnections
		}
		if memory > HeapBytes(p.Memory)/2 {
			t.Errorf("%+v: clients may hold %d bytes, more than half of %d", p, memory, HeapBytes(p.Memory))
		}
		if p.Descriptors > 0 && connections > p.Descriptors/2 {
			t.Errorf("%+v: %d connections", p, connections)
		}
	}
}

// The load: a small body that is decoded into much.
func TestCostOfDocuments(t *testing.T) {
	for document, least := range map[string]int64{
		`{"steps":[` + strings.Repeat("{},", 87_000) + "{}]}": 87_000 * 500,
		"[" + strings.Repeat("0,", 100_000) + "0]":            100_000 * 16,
		strings.Repeat("[", 100_000):                          100_000 * 24,
		"9" + strings.Repeat("9", 100_000):                    100_000,
	} {
		if cost := JSONCost([]byte(document)); cost < least {
			t.Errorf("%.20s costs %d, want at least %d", document, cost, least)
		}
	}
	if cost := headCost(16<<10, 4000); cost < 4000*100 {
		t.Errorf("a head of 4,000 lines costs %d", cost)
	}
	if cost := headCost(1000, 15); cost != 0 {
		t.Errorf("an ordinary head costs %d", cost)
	}
}
