// Package floors decides which availability floor each data centre is offered
// while the floors of a pool change. A data centre may enforce any revision
// from the last one it acknowledged to the last one offered; the sum of the
// lowest floors it may enforce is kept at or above the pool's min_available.
package floors

import (
	"maps"
	"slices"
)

// Span is one floor offered to a data centre, by floor revision. Until is the
// revision that replaced it, or 0 while it is the current one.
type Span struct {
	Floor int    `cbor:"1,keyasint"`
	Until uint64 `cbor:"2,keyasint,omitempty"`
}

// Pool is the state of one pool's floors.
type Pool struct {
	// Requested are the floors of the records, by data centre.
	Requested map[string]int `cbor:"1,keyasint"`
	// Spans are, by data centre, the floors that it may still enforce, oldest
	// first. A span whose floor is not below a later one is dropped, since it
	// cannot be the lowest; so the list is as long as there are distinct floors.
	Spans map[string][]Span `cbor:"2,keyasint"`
}

// Table holds the floors of all pools. The zero value is not usable; its
// fields are exported for snapshots.
type Table struct {
	Revision uint64           `cbor:"1,keyasint"`
	Pools    map[string]*Pool `cbor:"2,keyasint"`
}

// New returns an empty table.
func New() *Table {
	return &Table{Pools: make(map[string]*Pool)}
}

// Split divides the floor of a region evenly over homes. The first homes get
// the remainder.
func Split(minAvailable int, homes []string) map[string]int {
	out := make(map[string]int, len(homes))
	for i, h := range homes {
		out[h] = minAvailable / len(homes)
		if i < minAvailable%len(homes) {
			out[h]++
		}
	}
	return out
}

// SetRequested replaces the targets of all pools and offers new floors. It
// returns the pools whose offered floors changed, by name. A pool without a
// target is removed: its floor is zero at once.
func (t *Table) SetRequested(targets map[string]map[string]int) []string {
	for name, target := range targets {
		p := t.Pools[name]
		if p == nil {
			p = &Pool{Spans: make(map[string][]Span)}
			t.Pools[name] = p
		}
		p.Requested = maps.Clone(target)
	}
	var removed []string
	for name := range t.Pools {
		if _, ok := targets[name]; !ok {
			removed = append(removed, name)
			delete(t.Pools, name)
		}
	}
	changed := append(t.offer(t.Revision+1), removed...)
	if len(changed) > 0 {
		t.Revision++
	}
	slices.Sort(changed)
	return changed
}

// Ack records that a data centre has adopted a floor revision and offers new
// floors if this allows lowering some. Acknowledgements may come late, in any
// order and repeatedly; those of a revision that was never offered are ignored.
// It returns the pools whose offered floors changed.
func (t *Table) Ack(dataCentre string, revision uint64) []string {
	if revision > t.Revision {
		return nil
	}
	for _, p := range t.Pools {
		spans := p.Spans[dataCentre]
		for len(spans) > 0 && spans[0].Until != 0 && spans[0].Until <= revision {
			spans = spans[1:]
		}
		if len(spans) > 0 {
			p.Spans[dataCentre] = slices.Clone(spans)
		}
	}
	changed := t.offer(t.Revision + 1)
	if len(changed) > 0 {
		t.Revision++
	}
	return changed
}

// Floors returns a copy of the floors offered now.
func (t *Table) Floors() map[string]map[string]int {
	out := make(map[string]map[string]int, len(t.Pools))
	for name, p := range t.Pools {
		out[name] = p.offered()
	}
	return out
}

// Settled reports whether a pool's offered floors equal its target.
func (t *Table) Settled(pool string) bool {
	p := t.Pools[pool]
	return p == nil || maps.Equal(p.offered(), p.Requested)
}

// offer computes the next floors of every pool under the given revision.
func (t *Table) offer(revision uint64) []string {
	var changed []string
	for _, name := range slices.Sorted(maps.Keys(t.Pools)) {
		if t.Pools[name].offer(revision) {
			changed = append(changed, name)
		}
	}
	return changed
}

// offer raises floors to the target at once and lowers them only when no data
// centre may still enforce less than its target. The two never happen in the
// same revision: a lowering one has nothing left to raise.
func (p *Pool) offer(revision uint64) bool {
	now := p.offered()
	next := maps.Clone(p.Requested)
	if !p.confirmed() {
		for dc, n := range now {
			next[dc] = max(n, next[dc])
		}
	}
	if maps.Equal(now, next) {
		return false
	}
	for dc := range p.Spans {
		if _, ok := next[dc]; !ok {
			delete(p.Spans, dc) // floor 0 from here on, the lowest there is
		}
	}
	for dc, n := range next {
		if old, ok := now[dc]; !ok || old != n {
			p.push(dc, n, revision)
		}
	}
	return true
}

func (p *Pool) push(dc string, floor int, revision uint64) {
	spans := slices.Clone(p.Spans[dc])
	if len(spans) == 0 {
		spans = []Span{{Floor: 0}} // not offered before
	}
	spans[len(spans)-1].Until = revision
	for len(spans) > 0 && spans[len(spans)-1].Floor >= floor {
		spans = spans[:len(spans)-1]
	}
	p.Spans[dc] = append(spans, Span{Floor: floor})
}

// confirmed reports whether every data centre enforces at least its target,
// whichever of the offered revisions it has adopted.
func (p *Pool) confirmed() bool {
	for dc, n := range p.Requested {
		if p.lowest(dc) < n {
			return false
		}
	}
	return true
}

// lowest returns the lowest floor that a data centre may enforce now.
func (p *Pool) lowest(dc string) int {
	if spans := p.Spans[dc]; len(spans) > 0 {
		return spans[0].Floor
	}
	return 0
}

func (p *Pool) offered() map[string]int {
	out := make(map[string]int, len(p.Spans))
	for dc, spans := range p.Spans {
		out[dc] = spans[len(spans)-1].Floor
	}
	return out
}
