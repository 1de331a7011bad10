package poolsize_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/poolsize"
)

var _ = Describe("Wants", func() {
	const keepMS = 1500

	It("remembers the largest number of a demand that comes in bursts of a second", func() {
		var w poolsize.Wants
		for now := int64(1000); now <= 6000; now += 100 {
			w.Note(now, keepMS, map[string]int{"desk": 4 + 6*int(now/1000%2)})
			if now >= 1000+keepMS {
				Expect(w.Most("desk")).To(Equal(10))
			}
		}
		for now := int64(6100); now <= 7600; now += 100 {
			w.Note(now, keepMS, map[string]int{"desk": 4})
		}
		Expect(w.Most("desk")).To(Equal(4), "the bursts have ended")
	})

	It("knows nothing in the first moments of a leader, in the middle of a demand peak", func() {
		var w poolsize.Wants
		w.Note(1000, keepMS, map[string]int{"desk": 2})
		Expect(w.Most("desk")).To(BeZero())
		w.Note(1000+keepMS-100, keepMS, map[string]int{"desk": 3})
		Expect(w.Most("desk")).To(BeZero())
		w.Note(1000+keepMS, keepMS, map[string]int{"desk": 3})
		Expect(w.Most("desk")).To(Equal(3))
	})
})
