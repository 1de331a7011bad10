package ledger_test

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
)

func (f *fixture) snapshot() []byte {
	data, err := f.state.Snapshot()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return data
}

var _ = Describe("retained keys", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture(ledger.DefaultLimits()) })

	// finish runs a request whose first attempt is refused, and waits until the
	// retention of its answer is over.
	finish := func(key string, state model.AttemptState) *model.Request {
		GinkgoHelper()
		f.claim(key, "order", "shop", 0)
		Expect(f.dispatch(key, 1, "h1")).To(BeTrue())
		f.report(key, 1, model.AttemptNotBegun, "")
		f.advance(time.Second)
		Expect(f.dispatch(key, 2, "h1")).To(BeTrue())
		f.report(key, 2, state, "answer")
		r := f.get(key)
		f.advance(10 * time.Minute)
		f.expire()
		return r
	}

	It("answers a resend, a cancellation and a reused key as before", func() {
		// Guards against a second run and against a wrong answer after the
		// retention of the answer.
		for _, state := range []model.AttemptState{model.AttemptSucceeded, model.AttemptFailed} {
			whole := finish(string(state), state)
			r := f.get(string(state))
			Expect(r.DetailsExpired).To(BeTrue())
			Expect(r.Reason).To(HavePrefix("details have expired"))
			Expect(*r).To(Equal(model.Request{
				Key: whole.Key, Digest: whole.Digest, State: whole.State, Outcome: model.OutcomeDone,
				Succeeded: whole.Succeeded, Reason: r.Reason, Claimed: whole.Claimed, Finished: whole.Finished,
				Attempts: []model.Attempt{{Number: 2, State: state}}, DetailsExpired: true,
			}))
			Expect(f.claim(r.Key, "order", "shop", 0).Request).To(Equal(r))
			Expect(f.cancel(r.Key).Request).To(Equal(r))
			Expect(fault.CodeOf(f.claim(r.Key, "order", "other", 0).Err)).To(Equal(fault.CodeKeyReused))
			Expect(f.dispatch(r.Key, 3, "h1")).To(BeFalse())
			f.report(r.Key, 2, model.AttemptNotBegun, "")
			Expect(fault.CodeOf(f.retry(r.Key, 2, false))).To(Equal(fault.CodePrecondition))
			park := f.apply(ledger.Command{Park: &ledger.Park{Key: r.Key, Reason: "large"}})
			Expect(fault.CodeOf(park.Err)).To(Equal(fault.CodePrecondition))
			Expect(f.get(r.Key)).To(Equal(r))
		}
		f.claim("never", "order", "shop", 0)
		f.cancel("never")
		f.advance(10 * time.Minute)
		f.expire()
		Expect(f.outcome("never")).To(Equal("finished not_run false"))
		Expect(f.get("never").Attempts).To(BeEmpty())
		Expect(f.get("never").DetailsExpired).To(BeTrue())
	})

	It("drops a key at the end of its own retention", func() {
		// Guards against a key that expires early, after which its request could
		// run again, and against one that never expires.
		r := finish("a", model.AttemptSucceeded)
		finish("b", model.AttemptSucceeded)
		at, ok := f.state.NextExpiry()
		Expect(ok).To(BeTrue())
		Expect(at).To(Equal(r.Finished.Add(24 * time.Hour)))
		f.advance(at.Sub(f.now) - time.Millisecond)
		f.expire()
		Expect(f.outcome("a")).To(Equal("finished done true"))
		f.advance(time.Millisecond)
		f.expire()
		Expect(f.outcome("a")).To(Equal("absent"))
		Expect(f.outcome("b")).To(Equal("finished done true"))
		Expect(f.state.KeyCount()).To(Equal(1))
	})

	It("keeps unknown requests whole, so that late reports resolve them", func() {
		// Guards against an outcome that stays unknown although the target or
		// the owner can still prove it.
		for _, key := range []string{"ran", "refused"} {
			f.claim(key, "order", "shop", 0)
			f.dispatch(key, 1, "h1")
		}
		f.lose("h1", "i1")
		f.advance(23 * time.Hour)
		f.expire()
		Expect(f.state.OpenAttempts()).To(HaveLen(2))
		f.report("ran", 1, model.AttemptSucceeded, "answer")
		f.report("refused", 1, model.AttemptNotBegun, "")
		Expect(f.outcome("ran")).To(Equal("finished done true"))
		Expect(string(f.get("ran").Answer)).To(Equal("answer"))
		Expect(f.outcome("refused")).To(Equal("finished not_run false"))
		f.advance(10 * time.Minute)
		f.expire()
		Expect(f.get("ran").DetailsExpired).To(BeTrue())
		Expect(f.get("refused").DetailsExpired).To(BeTrue())
	})

	It("refuses new non-idempotent claims when full and takes idempotent ones", func() {
		// Guards against keys that fill the memory, and against a finished request
		// whose key cannot be retained.
		limits := ledger.DefaultLimits()
		limits.MaxKeys = 3
		f = newFixture(limits)
		finish("a", model.AttemptSucceeded)
		f.claim("b", "order", "shop", 0)
		f.claim("c", "order", "shop", 0)
		err := f.claim("d", "order", "shop", 0).Err
		var full *fault.LimitExceeded
		Expect(errors.As(err, &full)).To(BeTrue())
		Expect(*full).To(Equal(fault.LimitExceeded{What: "keys of non-idempotent requests", Limit: 3}))
		Expect(f.outcome("d")).To(Equal("absent"))
		Expect(f.claim("e", "proof", "shop", 0).Err).NotTo(HaveOccurred())
		Expect(f.claim("a", "order", "shop", 0).Err).NotTo(HaveOccurred(), "a resend needs no new key")
		f.cancel("b")
		f.cancel("c")
		f.advance(10 * time.Minute)
		f.expire()
		Expect(f.state.KeyCount()).To(Equal(3))
		Expect(f.claim("d", "order", "shop", 0).Err).To(HaveOccurred())
		f.advance(24 * time.Hour)
		f.expire()
		Expect(f.claim("d", "order", "shop", 0).Err).NotTo(HaveOccurred())
	})

	It("lists requests before keys, the latest first", func() {
		// Guards against a listing that hides requests or repeats them.
		for i := range 6000 {
			key := fmt.Sprintf("%s%d", strings.Repeat("k", 200), i)
			f.claim(key, "order", "shop", 0)
			f.cancel(key)
			f.advance(time.Millisecond)
		}
		f.advance(10 * time.Minute)
		f.expire()
		f.claim("open", "order", "shop", 0)
		f.advance(24*time.Hour - 10*time.Minute - 500*time.Millisecond)
		f.expire() // drops the first block and a part of the next
		all := f.state.Recent(10_000)
		Expect(len(all)).To(BeNumerically("~", 500, 2))
		Expect(all[0].Key).To(Equal("open"))
		Expect(all[1].Key).To(HaveSuffix("k5999"))
		for i := 2; i < len(all); i++ {
			Expect(all[i].Finished.Before(all[i-1].Finished)).To(BeTrue())
			Expect(f.get(all[i].Key)).To(Equal(all[i]))
		}
		Expect(f.state.Recent(3)).To(Equal(all[:3]))
		other := ledger.New(ledger.Limits{})
		Expect(other.Restore(f.snapshot())).To(Succeed())
		Expect(other.Recent(10_000)).To(Equal(all))
		again, err := other.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(f.snapshot()))
	})

	It("refuses snapshots whose keys are malformed and keeps its state", func() {
		// Guards against a replica that loses a key and runs its request again.
		finish("a", model.AttemptSucceeded)
		before := f.snapshot()
		var fields map[int]any
		Expect(codec.Unmarshal(before, &fields)).To(Succeed())
		keys := fields[6].([]byte)
		flags := append([]byte(nil), keys...)
		flags[len(flags)-1] = 0x80
		for _, bad := range [][]byte{keys[:len(keys)-1], keys[:1], flags, append(append([]byte(nil), keys...), keys...)} {
			fields[6] = bad
			data, err := codec.Marshal(fields)
			Expect(err).NotTo(HaveOccurred())
			Expect(fault.CodeOf(f.state.Restore(data))).To(Equal(fault.CodeCorrupt))
			Expect(f.snapshot()).To(Equal(before))
		}
	})
})

var _ = Describe("snapshots of version 1", func() {
	It("are read, and reduce nothing before limits with keys are in force", func() {
		// Guards against keys that an upgrade loses, and against replicas that
		// differ because one replays entries from before the upgrade and
		// another restores a snapshot that was taken after them.
		text, err := os.ReadFile("testdata/snapshot_v1.hex")
		Expect(err).NotTo(HaveOccurred())
		data, err := hex.DecodeString(strings.TrimSpace(string(text)))
		Expect(err).NotTo(HaveOccurred())
		f := newFixture(ledger.InitialLimits())
		Expect(f.state.Restore(data)).To(Succeed())
		Expect(f.state.Limits()).To(Equal(ledger.InitialLimits()))
		outcomes := func() map[string]string {
			out := map[string]string{}
			for _, r := range f.state.Recent(100) {
				out[r.Key] = f.outcome(r.Key)
			}
			return out
		}
		Expect(outcomes()).To(Equal(map[string]string{
			"order-old": "finished done true", "order-new": "finished done false", "unknown": "finished unknown false",
			"cancelled": "finished not_run false", "proof": "finished done true",
			"running": "dispatched  false", "queued": "queued  false",
		}))
		f.now.WallMillis = 1_661_000 // when the snapshot was taken
		f.advance(30 * time.Second)
		f.expire()
		reduced := func() (keys []string) {
			for _, r := range f.state.Recent(100) {
				if r.DetailsExpired {
					keys = append(keys, r.Key)
				}
			}
			return keys
		}
		Expect(reduced()).To(BeEmpty())
		limits := ledger.DefaultLimits()
		f.apply(ledger.Command{SetLimits: &limits})
		f.expire()
		Expect(reduced()).To(Equal([]string{"order-old"}))
		f.advance(10 * time.Minute)
		f.expire()
		Expect(reduced()).To(ConsistOf("order-old", "order-new", "cancelled"))
		Expect(f.get("order-old").Attempts[0].Number).To(Equal(2))
		Expect(f.outcome("unknown")).To(Equal("finished unknown false"))
		Expect(f.outcome("proof")).To(Equal("absent"))
		for _, key := range []string{"order-old", "order-new"} {
			Expect(f.claim(key, "order", "shop", 0).Request.Outcome).To(Equal(model.OutcomeDone))
			Expect(fault.CodeOf(f.claim(key, "draw", "shop", 0).Err)).To(Equal(fault.CodeKeyReused))
		}
	})
})
