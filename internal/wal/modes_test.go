package wal_test

import (
	"io/fs"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/raft"
	"agatehaven.dev/agatehaven/internal/wal"
)

var _ = Describe("the files of a log", func() {
	DescribeTable("can be read by their owner only", func(prepare func(dir string) error) {
		// Guards against other users of a host who read the keys in a configuration, also
		// where the directory was created by an earlier version or by the operator.
		dir := filepath.Join(GinkgoT().TempDir(), "data")
		Expect(prepare(dir)).To(Succeed())
		w, _, err := wal.Open(wal.Options{FS: wal.OSFS{}, Dir: dir, SegmentBytes: 4096})
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Save(&raft.HardState{Term: 1}, entries(1, 1, 9, 1000))).To(Succeed())
		Expect(w.SaveSnapshot(snapshot(5, 1, 1000))).To(Succeed())
		Expect(wal.SaveIdentity(wal.OSFS{}, dir, wal.Identity{Host: "a"})).To(Succeed())
		Expect(w.Close()).To(Succeed())
		info, err := os.Stat(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Mode().Perm()).To(Equal(fs.FileMode(0o700)))
		files, err := os.ReadDir(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(files)).To(BeNumerically(">=", 3))
		for _, f := range files {
			info, err := f.Info()
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Mode().Perm()).To(Equal(fs.FileMode(0o600)), f.Name())
		}
	},
		Entry("in a new directory", func(string) error { return nil }),
		Entry("in a directory that others may read", func(dir string) error { return os.Mkdir(dir, 0o755) }),
	)
})
