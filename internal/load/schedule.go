package load

import (
	"math/rand/v2"
	"time"
)

// Pattern is how demand changes over time.
type Pattern string

// Patterns of demand. With PatternBursts each kind in its turn is sent at
// burstFactor times its mean and at quietFactor in between.
const (
	PatternSteady Pattern = "steady"
	PatternBursts Pattern = "bursts"
)

// Factors of the changing demand of docs/design.md section 3.
const (
	burstFactor = 5.0
	quietFactor = 1.0 / 20
)

// Mix is the share of one job kind in the load.
type Mix struct {
	Kind Kind
	// Weight is the kind's part of the mean rate; weights need not sum to 1.
	Weight float64
	// Run is the run time on the target.
	Run time.Duration
	// InTime is the start latency that counts as in time.
	InTime time.Duration
	// Once marks a non-idempotent kind.
	Once bool
}

// Plan describes the load to generate.
type Plan struct {
	Seed uint64
	// PerSecond is the mean rate over all kinds.
	PerSecond float64
	For       time.Duration
	Pattern   Pattern
	// BurstFor is the length of one burst.
	BurstFor time.Duration
	Mix      []Mix
	// PayloadBytes is the size of a payload, at least what its fields need.
	PayloadBytes int
	// TicketShare is the share of requests with a ticket key, RepeatShare the
	// share of keys sent a second time through another entry host.
	TicketShare, RepeatShare float64
}

// Arrival is one request to send.
type Arrival struct {
	At   time.Duration // since the start of the run
	Kind int           // index into Plan.Mix
	// Entry is the turn that chooses the entry host.
	Entry  int
	Ticket bool
	// RepeatAfter is the delay of the second send; negative means none.
	RepeatAfter time.Duration
}

// maxRepeatDelay bounds the delay of a repeated send. Repeats within the
// run time of a request meet it while it is queued, running and finished.
const maxRepeatDelay = 500 * time.Millisecond

// Schedule returns the arrivals of a plan in the order of their time. It is a
// Poisson process per kind, thinned by the pattern, and depends only on the
// plan.
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
		if now >= p.For {
			return out
		}
		a := Arrival{At: now, Kind: p.pick(random.Float64() * total), Entry: random.IntN(1 << 16), RepeatAfter: -1}
		a.Ticket = random.Float64() < p.TicketShare
		if random.Float64() < p.RepeatShare {
			a.RepeatAfter = time.Duration(random.Int64N(int64(maxRepeatDelay)))
		}
		if random.Float64()*peak < p.factor(a.Kind, now) {
			out = append(out, a)
		}
	}
}

func (p *Plan) pick(at float64) int {
	for i, m := range p.Mix {
		if at < m.Weight {
			return i
		}
		at -= m.Weight
	}
	return len(p.Mix) - 1
}

// factor returns the demand of a kind at a time relative to its mean.
func (p *Plan) factor(kind int, at time.Duration) float64 {
	if p.Pattern != PatternBursts || p.BurstFor <= 0 {
		return 1
	}
	if int(at/p.BurstFor)%len(p.Mix) == kind {
		return burstFactor
	}
	return quietFactor
}
