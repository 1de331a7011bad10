package logging_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/logging"
)

func TestLogging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logging")
}

var _ = Describe("New", func() {
	var out bytes.Buffer
	source := clock.NewManual(time.Date(2030, 5, 1, 4, 0, 0, 250_000_000, time.UTC))

	BeforeEach(out.Reset)

	It("writes one line of key=value pairs per event", func() {
		// Guards against lines that a parser of key=value pairs misreads.
		log, err := logging.New(&out, "info", source)
		Expect(err).NotTo(HaveOccurred())
		log.Info().Str("host", "exec-1").Str("reason", "two words").Str("empty", "").Str("pair", "a=b").
			Str("quote", `say "x"`).Str("lines", "a\nb=c").Int("attempt", 2).Bool("ok", true).
			Strs("hosts", []string{"a", "b"}).Msg("host drained")
		log.Debug().Msg("below the level")
		Expect(out.String()).To(Equal(`level=info time=2030-05-01T04:00:00.250Z msg="host drained" ` +
			`attempt=2 empty="" host=exec-1 hosts="[\"a\",\"b\"]" lines="a\nb=c" ok=true pair="a=b" quote="say \"x\"" reason="two words"` + "\n"))
	})

	It("never writes secrets or callers' data", func() {
		// Guards against a payload or a password in the log.
		log, err := logging.New(&out, "debug", source)
		Expect(err).NotTo(HaveOccurred())
		log.Error().Str("payload", "p4yl04d").Str("tls_Password", "hunter2").Bytes("answer", []byte("4nsw3r")).Msg("x")
		Expect(out.String()).To(ContainSubstring("payload=" + logging.Redacted))
		Expect(out.String()).NotTo(Or(ContainSubstring("p4yl04d"), ContainSubstring("hunter2"), ContainSubstring("4nsw3r")))
	})

	It("truncates every long value", func() {
		// Guards against one event that fills the disk.
		log, err := logging.New(&out, "info", source)
		Expect(err).NotTo(HaveOccurred())
		log.Info().Str("text", strings.Repeat("x", 1<<20)).Msg(strings.Repeat("y", 1<<20))
		Expect(out.Len()).To(BeNumerically("<", 4096))
		Expect(out.String()).To(ContainSubstring("(1048576 bytes)"))
	})

	It("refuses an unknown level", func() {
		// Guards against a misspelt level that silently disables the log.
		_, err := logging.New(&out, "loud", source)
		Expect(err).To(MatchError(ContainSubstring("allowed: debug, info, warn, error")))
	})
})

var _ = Describe("File", func() {
	It("keeps at most one previous file of bounded size", func() {
		// Guards against a log that fills the disk of the replicas.
		path := filepath.Join(GinkgoT().TempDir(), "a.log")
		f, err := logging.OpenFile(path, 25)
		Expect(err).NotTo(HaveOccurred())
		for _, line := range []string{"line 0001\n", "line 0002\n", "line 0003\n", "line 0004\n", "line 0005\n"} {
			Expect(f.Write([]byte(line))).To(Equal(10))
		}
		Expect(f.Close()).To(Succeed())
		Expect(os.ReadFile(path)).To(BeEquivalentTo("line 0005\n"))
		Expect(os.ReadFile(path + ".1")).To(BeEquivalentTo("line 0003\nline 0004\n"))
	})
})
