package load

import (
	"math/rand/v2"
	"time"
)

// Pattern is how demand changes over time.
type Pattern string

// Patterns of demand. With PatternBursts the kinds take turns: each is sent at
// burstFactor times its mean rate during its own burst and at quietFactor times
// its mean rate otherwise.
const (
	PatternSteady Pattern = "steady"
	PatternBursts Pattern = "bursts"
)

// Factors of the demand pattern in docs/design.md section 3.
const (
	burstFactor = 5.0
	quietFactor = 1.0 / 20
)

// Mix is the share of one job kind in the load.
type Mix struct {
	Kind Kind
	// Weight is the kind's relative share of the mean rate; weights need not sum
	// to 1.
	Weight float64
	// RunTime is the run time on the target.
	RunTime time.Duration
	// InTime is the longest start latency that counts as in time.
	InTime time.Duration
	// NonIdempotent marks a non-idempotent kind.
	NonIdempotent bool
}

// Plan describes the load to generate.
type Plan struct {
	Seed uint64
	// PerSecond is the mean rate over all kinds.
	PerSecond float64
	Length    time.Duration
	Pattern   Pattern
	// BurstLength is the length of one burst.
	BurstLength time.Duration
	Mix         []Mix
	// PayloadBytes is the size that payloads are padded to.
	PayloadBytes int
	// TicketShare is the share of requests with a ticket key, RepeatShare the
	// share of keys sent a second time through another entry host.
	TicketShare, RepeatShare float64
}

// Arrival is one request to send.
type Arrival struct {
	At   time.Duration // since the start of the run
	Kind int           // index into Plan.Mix
	// Entry is the index that chooses the entry host, see Client.Entry.
	Entry  int
	Ticket bool
	// RepeatAfter is the delay of the second send; negative means none.
	RepeatAfter time.Duration
}

// maxRepeatDelay is the longest delay of a repeated send. Run times are of the
// same order, so repeats meet their request while it is queued, running or
// finished.
const maxRepeatDelay = 500 * time.Millisecond

// Schedule returns the arrivals of a plan in order of time. They form a Poisson
// process per kind, thinned by the pattern, and depend only on the plan and its
// seed.
func Schedule(p Plan) []Arrival {
	random := rand.New(rand.NewPCG(p.Seed, 0))
	total := 0.0
	for _, m := range p.Mix {
		total += m.Weight
	}
	peak := 1.0
	if p.Pattern == PatternBursts {
		peak = burstFactor
	}
	if total <= 0 || p.PerSecond <= 0 {
		return nil
	}
	var out []Arrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / (p.PerSecond * peak)
		now := time.Duration(at * float64(time.Second))
		if now >= p.Length {
			return out
		}
		a := Arrival{At: now, Kind: p.pickKind(random.Float64() * total), Entry: random.IntN(1 << 16), RepeatAfter: -1}
		a.Ticket = random.Float64() < p.TicketShare
		if random.Float64() < p.RepeatShare {
			a.RepeatAfter = time.Duration(random.Int64N(int64(maxRepeatDelay)))
		}
		if random.Float64()*peak < p.demandFactor(a.Kind, now) {
			out = append(out, a)
		}
	}
}

func (p *Plan) pickKind(at float64) int {
	for i, m := range p.Mix {
		if at < m.Weight {
			return i
		}
		at -= m.Weight
	}
	return len(p.Mix) - 1
}

// demandFactor returns the demand of a kind at a time relative to its mean.
func (p *Plan) demandFactor(kind int, at time.Duration) float64 {
	if p.Pattern != PatternBursts || p.BurstLength <= 0 {
		return 1
	}
	if int(at/p.BurstLength)%len(p.Mix) == kind {
		return burstFactor
	}
	return quietFactor
}
