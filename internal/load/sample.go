package load

import (
	"context"
	"fmt"
	"io"

	"github.com/google/uuid"

	"agatehaven.dev/agatehaven/internal/caller"
)

// Kind is a job kind with the team that sends it.
type Kind struct{ Name, Team string }

// SampleKinds are the job kinds of examples/records.toml.
var SampleKinds = []Kind{
	{"proof", "print-shop"},
	{"cutting_path", "print-shop"},
	{"plotter_order", "print-shop"},
	{"archival_conversion", "archive"},
	{"draw", "markets"},
	{"fee_charge", "markets"},
}

// sampleWaitMS is how long a sample request waits for its outcome.
const sampleWaitMS = 15_000

// Sample sends one request of every sample kind with a plain key and one with
// a ticket, through different entry hosts, sends each again through the next
// entry host, and prints every answer. It returns the number of requests
// without the outcome done, or with another answer for the repeated key.
func Sample(ctx context.Context, c *Client, out io.Writer) int {
	failed, turn := 0, 0
	for _, kind := range SampleKinds {
		for _, ticket := range []bool{false, true} {
			entry, again := c.Entry(turn), c.Entry(turn+1)
			turn++
			key := "sample-" + uuid.NewString()
			if ticket {
				issued, err := c.Ticket(ctx, entry)
				if err != nil {
					_, _ = fmt.Fprintf(out, "ticket entry=%s error=%q\n", entry, err)
					failed++
					continue
				}
				key = issued
			}
			body := caller.Body{Kind: kind.Name, Team: kind.Team, Payload: []byte("{}"), DeadlineMS: sampleWaitMS, WaitMS: sampleWaitMS}
			first, ok := sendSample(ctx, c, out, entry, key, body)
			second, okAgain := sendSample(ctx, c, out, again, key, body)
			if !ok || !okAgain || first != second {
				failed++
			}
		}
	}
	_, _ = fmt.Fprintf(out, "sample requests=%d failed=%d\n", turn, failed)
	return failed
}

func sendSample(ctx context.Context, c *Client, out io.Writer, entry, key string, body caller.Body) (answer string, ok bool) {
	r, status, err := c.Send(ctx, entry, key, body)
	if err != nil {
		_, _ = fmt.Fprintf(out, "request entry=%s kind=%s key=%s status=%d error=%q\n", entry, body.Kind, key, status, err)
		return "", false
	}
	_, _ = fmt.Fprintf(out, "request entry=%s kind=%s key=%s status=%d outcome=%s succeeded=%t attempt=%d answer=%s\n",
		entry, body.Kind, key, status, r.Outcome, r.Succeeded, r.Attempt, r.Answer)
	return string(r.Answer), r.Outcome == "done" && r.Succeeded
}
