// Package floors decides which availability floor is offered to each data
// centre while the floors of a pool change. A data centre may enforce any floor
// revision from the last one it acknowledged to the last one offered. The sum
// of the lowest floors that the data centres may enforce never falls below the
// pool's min_available.
package floors

import (
	"maps"
	"slices"
)

// Offer is a floor that was offered to a data centre. Until is the floor
// revision that replaced it, or 0 for the current offer.
type Offer struct {
	Floor int    `cbor:"1,keyasint"`
	Until uint64 `cbor:"2,keyasint,omitempty"`
}

// Pool is the state of one pool's floors.
type Pool struct {
	// Requested holds the floors that the records ask for, by data centre.
	Requested map[string]int `cbor:"1,keyasint"`
	// Offers holds, by data centre, the floors that it may still enforce, oldest
	// first. An offer whose floor is not below that of a later one is dropped,
	// since it cannot be the lowest. The floors in a list are thus distinct and
	// rising, which bounds its length.
	Offers map[string][]Offer `cbor:"2,keyasint"`
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

// Split divides the floor of a region evenly over its home data centres. The
// first ones get the remainder.
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

// SetRequested replaces the requested floors of all pools and offers new
// floors. It returns the names of the pools whose offered floors changed, in
// order. A pool without requested floors is removed: its floor is 0 at once.
func (t *Table) SetRequested(requested map[string]map[string]int) []string {
	for name, floors := range requested {
		p := t.Pools[name]
		if p == nil {
			p = &Pool{Offers: make(map[string][]Offer)}
			t.Pools[name] = p
		}
		p.Requested = maps.Clone(floors)
	}
	var removed []string
	for name := range t.Pools {
		if _, ok := requested[name]; !ok {
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

// Ack records that a data centre has adopted a floor revision and offers lower
// floors where that is now safe. Acknowledgements may arrive late, repeatedly
// and in any order; one for a revision that was never offered is ignored. Ack
// returns the pools whose offered floors changed.
func (t *Table) Ack(dataCentre string, revision uint64) []string {
	if revision > t.Revision {
		return nil
	}
	for _, p := range t.Pools {
		offers := p.Offers[dataCentre]
		for len(offers) > 0 && offers[0].Until != 0 && offers[0].Until <= revision {
			offers = offers[1:]
		}
		if len(offers) > 0 {
			p.Offers[dataCentre] = slices.Clone(offers)
		}
	}
	changed := t.offer(t.Revision + 1)
	if len(changed) > 0 {
		t.Revision++
	}
	return changed
}

// Floors returns a copy of the currently offered floors.
func (t *Table) Floors() map[string]map[string]int {
	out := make(map[string]map[string]int, len(t.Pools))
	for name, p := range t.Pools {
		out[name] = p.offered()
	}
	return out
}

// Settled reports whether a pool's offered floors equal the requested ones.
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

// offer raises floors to the requested values at once, and lowers floors only
// when no data centre may still enforce less than its requested floor. One
// revision never does both: when it lowers, all floors have been raised.
func (p *Pool) offer(revision uint64) bool {
	now := p.offered()
	next := maps.Clone(p.Requested)
	if !p.allEnforceRequested() {
		for dc, n := range now {
			next[dc] = max(n, next[dc])
		}
	}
	if maps.Equal(now, next) {
		return false
	}
	for dc := range p.Offers {
		if _, ok := next[dc]; !ok {
			delete(p.Offers, dc) // floor 0 from now on, which no other offer can be below
		}
	}
	for dc, n := range next {
		if old, ok := now[dc]; !ok || old != n {
			p.addOffer(dc, n, revision)
		}
	}
	return true
}

func (p *Pool) addOffer(dc string, floor int, revision uint64) {
	offers := slices.Clone(p.Offers[dc])
	if len(offers) == 0 {
		offers = []Offer{{Floor: 0}} // not offered before
	}
	offers[len(offers)-1].Until = revision
	for len(offers) > 0 && offers[len(offers)-1].Floor >= floor {
		offers = offers[:len(offers)-1]
	}
	p.Offers[dc] = append(offers, Offer{Floor: floor})
}

// allEnforceRequested reports whether every data centre enforces at least its
// requested floor, whichever of the offered revisions it has adopted.
func (p *Pool) allEnforceRequested() bool {
	for dc, n := range p.Requested {
		if p.lowestEnforced(dc) < n {
			return false
		}
	}
	return true
}

// lowestEnforced returns the lowest floor that a data centre may be enforcing.
func (p *Pool) lowestEnforced(dc string) int {
	if offers := p.Offers[dc]; len(offers) > 0 {
		return offers[0].Floor
	}
	return 0
}

func (p *Pool) offered() map[string]int {
	out := make(map[string]int, len(p.Offers))
	for dc, offers := range p.Offers {
		out[dc] = offers[len(offers)-1].Floor
	}
	return out
}
