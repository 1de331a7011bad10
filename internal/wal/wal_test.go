package wal_test

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/raft"
	"agatehaven.dev/agatehaven/internal/testsupport/faultfs"
	"agatehaven.dev/agatehaven/internal/wal"
)

func TestWAL(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wal")
}

const (
	dir          = "/data"
	firstSegment = "/data/log-0000000000000001.wal"
)

func open(fs wal.FS) (*wal.WAL, wal.State) {
	GinkgoHelper()
	w, s, err := wal.Open(wal.Options{FS: fs, Dir: dir, SegmentBytes: 4096})
	Expect(err).NotTo(HaveOccurred())
	return w, s
}

func expectCorrupt(fs wal.FS) {
	GinkgoHelper()
	_, _, err := wal.Open(wal.Options{FS: fs, Dir: dir, SegmentBytes: 4096})
	var corrupt *fault.Corrupt
	Expect(errors.As(err, &corrupt)).To(BeTrue(), "got %v", err)
}

func entries(term, first, last uint64, size int) []raft.Entry {
	var out []raft.Entry
	for i := first; i <= last; i++ {
		data := bytes.Repeat([]byte{byte(i)}, size)
		out = append(out, raft.Entry{Index: i, Term: term, Data: data})
	}
	return out
}

func snapshot(index, term uint64, size int) raft.Snapshot {
	config := raft.Configuration{Members: []raft.Member{{ID: "a#1", Host: "a"}}}
	meta := raft.SnapshotMeta{Index: index, Term: term, Config: config, Size: uint64(size)}
	return raft.Snapshot{Meta: meta, Data: bytes.Repeat([]byte{7}, size)}
}

var _ = Describe("WAL", func() {
	var fs *faultfs.FS
	BeforeEach(func() { fs = faultfs.New() })

	It("returns everything saved before a crash, whatever was written after", func() {
		// Guards against acknowledging entries before the sync, and against
		// reporting a torn tail of any shape as corruption.
		for seed := range uint64(300) {
			fs = faultfs.New()
			random := rand.New(rand.NewPCG(seed, 1))
			w, _ := open(fs)
			hard := raft.HardState{Term: 3, Vote: "a#1"}
			saved := entries(3, 1, uint64(1+random.IntN(20)), 1+random.IntN(700))
			Expect(w.Save(&hard, saved)).To(Succeed())
			next := uint64(len(saved)) + 1
			fs.FailAfter([]faultfs.Op{faultfs.OpWrite, faultfs.OpSync}[random.IntN(2)], random.IntN(2))
			later := raft.HardState{Term: 4}
			acknowledged := w.Save(&later, entries(4, next, next+3, 1+random.IntN(700))) == nil
			fs.Crash(random)
			w, s := open(fs)
			Expect(len(s.Entries)).To(BeNumerically(">=", len(saved)), "seed %d", seed)
			Expect(s.Entries[:len(saved)]).To(Equal(saved))
			if acknowledged {
				Expect(s.HardState).To(Equal(later))
				Expect(s.Entries).To(HaveLen(len(saved) + 4))
			}
			last := uint64(len(s.Entries))
			Expect(w.Save(nil, entries(5, last+1, last+1, 10))).To(Succeed())
			_, s = open(fs)
			Expect(s.Entries).To(HaveLen(int(last) + 1))
		}
	})

	It("truncates an incomplete last record, and reports every changed byte as corrupt", func() {
		// Guards against the loss of acknowledged entries when damage, in the
		// last or an earlier record, is treated as a torn tail.
		w, _ := open(fs)
		Expect(w.Save(&raft.HardState{Term: 1}, entries(1, 1, 2, 40))).To(Succeed())
		Expect(w.Save(nil, entries(1, 3, 3, 40))).To(Succeed())
		whole, err := fs.ReadFile(firstSegment)
		Expect(err).NotTo(HaveOccurred())
		// Padding is not covered by a checksum and holds no data.
		for at, b := range whole {
			if b == 0xff {
				continue
			}
			fs.Edit(firstSegment, func([]byte) []byte {
				damaged := bytes.Clone(whole)
				damaged[at] ^= 0x20
				return damaged
			})
			expectCorrupt(fs)
		}
		for cut := 1; cut < 40; cut++ {
			fs.Edit(firstSegment, func([]byte) []byte { return bytes.Clone(whole[:len(whole)-cut]) })
			_, s := open(fs)
			Expect(s.Entries).To(Equal(entries(1, 1, 2, 40)))
			Expect(s.TruncatedBytes).NotTo(BeZero())
		}
	})

	It("truncates a last record with a sector that was never written", func() {
		// Guards against a replica that does not start after a crash in which
		// the disk wrote the sectors of a record out of order.
		w, _ := open(fs)
		Expect(w.Save(nil, entries(1, 1, 1, 40))).To(Succeed())
		Expect(w.Save(nil, entries(1, 2, 2, 2000))).To(Succeed())
		zero := func(data []byte) []byte { clear(data[1024:1536]); return data }
		fs.Edit(firstSegment, zero)
		w, s := open(fs)
		Expect(s.Entries).To(Equal(entries(1, 1, 1, 40)))
		// A record that is followed by another had been synced, so this is damage.
		Expect(w.Save(nil, entries(1, 2, 2, 2000))).To(Succeed())
		Expect(w.Save(nil, entries(1, 3, 3, 40))).To(Succeed())
		fs.Edit(firstSegment, zero)
		expectCorrupt(fs)
	})

	It("reports a missing or short segment before the last one", func() {
		// Guards against treating a gap in the log as its end.
		w, _ := open(fs)
		for i := range uint64(400) {
			Expect(w.Save(&raft.HardState{Term: i}, nil)).To(Succeed())
		}
		Expect(w.SegmentCount()).To(BeNumerically(">", 3))
		second := "/data/log-0000000000000002.wal"
		fs.Edit(second, func(data []byte) []byte { return data[:len(data)-30] })
		expectCorrupt(fs)
		Expect(fs.Remove(second)).To(Succeed())
		expectCorrupt(fs)
	})

	It("stores a batch with one sync", func() {
		// Guards against one sync per entry, which limits the commit rate.
		w, _ := open(fs)
		before := fs.SyncCount()
		Expect(w.Save(&raft.HardState{Term: 2}, entries(2, 1, 64, 8))).To(Succeed())
		Expect(fs.SyncCount() - before).To(Equal(1))
	})

	It("opens again after a full disk, also after several failed attempts", func() {
		// Guards against a replica that cannot start again after its disk was
		// full: each start with a full disk left a file open, and a torn segment
		// header must not be reported as damage.
		for size := range 200 {
			fs = faultfs.New()
			w, _ := open(fs)
			saved := entries(1, 1, 5, 700)
			Expect(w.Save(&raft.HardState{Term: 1, Vote: "a#1"}, saved)).To(Succeed())
			// The failing write is that of the record, or that of the header of the
			// segment after it.
			fs.FailAfter(faultfs.OpWrite, size%2)
			err := w.Save(nil, entries(1, 6, 6, 5*size))
			fs.SetFull(true)
			if err == nil {
				Expect(w.Save(nil, entries(1, 7, 7, 300))).NotTo(Succeed())
			}
			_ = w.Close() // the failed write was checked before
			Expect(fs.OpenFileCount()).To(BeZero())
			for range 5 {
				if w, _, err := wal.Open(wal.Options{FS: fs, Dir: dir, SegmentBytes: 4096}); err == nil {
					Expect(w.SaveSnapshot(snapshot(3, 1, 100))).NotTo(Succeed())
					Expect(w.Save(nil, entries(1, 7, 7, 8))).NotTo(Succeed())
					_ = w.Close() // the failed write was checked before
				}
				Expect(fs.OpenFileCount()).To(BeZero())
			}
			fs.SetFull(false)
			w, s := open(fs)
			Expect(s.HardState).To(Equal(raft.HardState{Term: 1, Vote: "a#1"}))
			Expect(s.Entries[:5]).To(Equal(saved))
			last := uint64(len(s.Entries))
			Expect(w.Save(nil, entries(2, last+1, last+1, 8))).To(Succeed())
		}
	})

	It("closes its files when a new disk is full", func() {
		// Guards against a file descriptor leak in repeated starts, after which
		// the replica cannot start even when the disk has room again.
		fs.SetFull(true)
		for range 3 {
			_, _, err := wal.Open(wal.Options{FS: fs, Dir: dir})
			Expect(err).To(HaveOccurred())
			Expect(fs.OpenFileCount()).To(BeZero())
		}
		fs.SetFull(false)
		w, _ := open(fs)
		Expect(w.Save(nil, entries(1, 1, 1, 8))).To(Succeed())
	})

	It("refuses all writes after a failed sync", func() {
		// Guards against a later sync that succeeds although the operating system
		// has dropped the data of the failed one.
		w, _ := open(fs)
		fs.FailAfter(faultfs.OpSync, 0)
		Expect(w.Save(nil, entries(1, 1, 1, 8))).NotTo(Succeed())
		Expect(w.Save(nil, entries(1, 2, 2, 8))).NotTo(Succeed())
	})

	It("replaces entries, releases segments and continues after a snapshot", func() {
		// Guards against replaying entries that a later leader replaced, and
		// against removing segments whose entries are still needed.
		w, _ := open(fs)
		for i := uint64(1); i <= 20; i++ {
			Expect(w.Save(nil, entries(1, i, i, 1000))).To(Succeed())
		}
		Expect(w.Save(nil, entries(2, 16, 17, 1000))).To(Succeed())
		before := w.SegmentCount()
		Expect(w.SaveSnapshot(snapshot(15, 1, 100))).To(Succeed())
		Expect(w.RemoveSegmentsUpTo(15)).To(Succeed())
		Expect(w.SegmentCount()).To(BeNumerically("<", before))
		w, s := open(fs)
		Expect(s.Snapshot.Index).To(Equal(uint64(15)))
		Expect(s.Entries).To(Equal(entries(2, 16, 17, 1000)))
		Expect(w.InstallSnapshot(snapshot(40, 3, 2*raft.SnapshotChunkBytes+5))).To(Succeed())
		Expect(w.Save(nil, entries(3, 41, 41, 8))).To(Succeed())
		w, s = open(fs)
		Expect(s.Entries).To(Equal(entries(3, 41, 41, 8)))
		loaded, err := w.LoadSnapshot()
		Expect(err).NotTo(HaveOccurred())
		var chunks []byte
		for uint64(len(chunks)) < s.Snapshot.Size {
			chunk, err := w.ReadChunk(s.Snapshot, uint64(len(chunks)))
			Expect(err).NotTo(HaveOccurred())
			chunks = append(chunks, chunk...)
		}
		Expect(chunks).To(Equal(loaded.Data))
	})

	It("keeps the old snapshot if a crash comes before the rename", func() {
		// Guards against replacing a complete snapshot with an incomplete one.
		w, _ := open(fs)
		Expect(w.Save(nil, entries(1, 1, 9, 8))).To(Succeed())
		Expect(w.SaveSnapshot(snapshot(4, 1, 100))).To(Succeed())
		for _, op := range []faultfs.Op{faultfs.OpWrite, faultfs.OpSync, faultfs.OpRename} {
			fs.FailAfter(op, 0)
			Expect(w.SaveSnapshot(snapshot(8, 1, 100))).NotTo(Succeed())
			fs.Crash(rand.New(rand.NewPCG(1, 1)))
			var s wal.State
			w, s = open(fs)
			Expect(s.Snapshot.Index).To(Equal(uint64(4)))
			Expect(s.Entries).To(HaveLen(5))
		}
	})

	It("discards the old log if a crash comes between a received snapshot and its reset record", func() {
		// Guards against treating entries of an old log as entries after the
		// snapshot.
		w, _ := open(fs)
		Expect(w.Save(nil, entries(1, 1, 9, 8))).To(Succeed())
		Expect(w.SaveSnapshot(snapshot(5, 2, 10))).To(Succeed())
		w, s := open(fs)
		Expect(s.Entries).To(BeEmpty())
		Expect(w.Save(nil, entries(2, 6, 6, 8))).To(Succeed())
		_, s = open(fs)
		Expect(s.Entries).To(Equal(entries(2, 6, 6, 8)))
	})

	It("reports a damaged snapshot and a damaged identity", func() {
		// Guards against starting unnoticed from an older state or as a new
		// replica.
		w, _ := open(fs)
		Expect(wal.SaveIdentity(fs, dir, wal.Identity{Group: "g", Host: "a", Incarnation: "1"})).To(Succeed())
		Expect(w.SaveSnapshot(snapshot(4, 1, 100))).To(Succeed())
		flip := func(data []byte) []byte { data[len(data)-30] ^= 1; return data }
		fs.Edit("/data/identity", flip)
		_, err := wal.LoadIdentity(fs, dir)
		Expect(fault.CodeOf(err)).To(Equal(fault.CodeCorrupt))
		fs.Edit(fmt.Sprintf("/data/snap-%016x-%016x.snap", 4, 1), flip)
		expectCorrupt(fs)
	})
})

// FuzzOpen guards against a panic while reading a log, and against a log that
// reads differently when it is opened again.
func FuzzOpen(f *testing.F) {
	fs := faultfs.New()
	w, _, err := wal.Open(wal.Options{FS: fs, Dir: dir})
	if err != nil {
		f.Fatal(err)
	}
	if err := w.Save(&raft.HardState{Term: 2, Vote: "b#1"}, entries(2, 1, 3, 20)); err != nil {
		f.Fatal(err)
	}
	data, err := fs.ReadFile(firstSegment)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)-7])
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := faultfs.New()
		if _, err := fs.Create(firstSegment); err != nil {
			t.Fatal(err)
		}
		fs.Edit(firstSegment, func([]byte) []byte { return data })
		_, first, err := wal.Open(wal.Options{FS: fs, Dir: dir})
		if err != nil {
			if code := fault.CodeOf(err); code != fault.CodeCorrupt {
				t.Fatalf("%s of %s: %v", code, hex.EncodeToString(data), err)
			}
			return
		}
		_, second, err := wal.Open(wal.Options{FS: fs, Dir: dir})
		if err != nil || len(first.Entries) != len(second.Entries) || second.TruncatedBytes != 0 {
			t.Fatalf("second read differs: %v", err)
		}
	})
}
