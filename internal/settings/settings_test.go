package settings_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const examplePath = "../../examples/agatehavend.toml"

func example() string {
	data, err := os.ReadFile(examplePath)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// problems parses the example with one text replaced and returns the problems.
func problems(old, replacement string) []settings.Problem {
	text := example()
	Expect(text).To(ContainSubstring(old))
	_, err := settings.Parse("test.toml", []byte(strings.Replace(text, old, replacement, 1)))
	if err == nil {
		return nil
	}
	var refused *settings.RefusedError
	Expect(errors.As(err, &refused)).To(BeTrue())
	Expect(fault.CodeOf(err)).To(Equal(fault.CodeInvalid))
	return refused.Problems
}

var _ = Describe("Load", func() {
	It("accepts the annotated example, whose comments show the defaults", func() {
		// Guards against an example that the daemon rejects, and against
		// defaults in its comments that differ from those of the code.
		s, err := settings.Load(examplePath)
		Expect(err).NotTo(HaveOccurred())
		shown := strings.NewReplacer("# key =", "#").Replace(example())
		var lines []string
		for _, line := range strings.Split(shown, "\n") {
			if rest, ok := strings.CutPrefix(line, "# "); ok && strings.Contains(rest, " = ") && !strings.Contains(rest, "/etc/") {
				line = rest
			}
			if strings.HasPrefix(line, "mutual") {
				continue
			}
			lines = append(lines, line)
		}
		spelledOut, err := settings.Parse("example", []byte(strings.Join(lines, "\n")))
		Expect(err).NotTo(HaveOccurred())
		Expect(spelledOut).To(Equal(s))
		Expect(s.Limits.AnswerRetention).To(Equal(10 * time.Minute))
		Expect(s.DataCentres()).To(Equal([]string{"dc-a", "dc-b", "dc-c"}))
	})

	It("reports all problems at once with key, line and allowed range", func() {
		// Guards against operators who have to correct one error at a time.
		_, err := settings.Load("testdata/refused.toml")
		Expect(err).To(HaveOccurred())
		expected, readErr := os.ReadFile("testdata/refused.golden")
		Expect(readErr).NotTo(HaveOccurred())
		Expect(err.Error() + "\n").To(Equal(string(expected)))
	})

	It("gives the line of a syntax error", func() {
		// Guards against a syntax error without its line.
		Expect(problems(`region = "west"`, `region = west`)).To(ConsistOf(
			HaveField("Line", 7)))
	})

	DescribeTable("refuses one mistake", func(old, replacement, key, text string) {
		// Guards against settings that would break a guarantee of the region.
		Expect(problems(old, replacement)).To(ConsistOf(And(
			HaveField("Key", key), HaveField("Line", BeNumerically(">", 0)),
			WithTransform(settings.Problem.String, ContainSubstring(text)))))
	},
		Entry("an unknown key in a sub-table", `level = "info"`, `detail = "info"`, "log.detail", "allowed: file, level, max_file_mb"),
		Entry("an unknown key in an inline table", `region = "west"`, "region = \"west\"\ntls = { peer = { mutua = true } }",
			"tls.peer.mutua", "line 8: tls.peer.mutua: unknown key"),
		Entry("two listeners on one address", `peer = "192.0.2.11:7104"`, `peer = "192.0.2.11:7103"`, "listen.peer", "already used by listen.operator"),
		Entry("a wildcard over a listener", `diagnostics = "127.0.0.1:7105"`, `diagnostics = "0.0.0.0:7101"`, "listen.diagnostics", "already used by listen.caller"),
		Entry("this host missing from the host list", `host = "entry-a1"`, `host = "entry-a9"`, "host", "not in the host list"),
		Entry("another data centre than the list", `data_centre = "dc-a"`, `data_centre = "dc-b"`, "data_centre", "differs from the host list"),
		Entry("a disk without a folder", `data_folder = "/var/lib/agatehaven"`, `data_folder = ""`, "data_folder", "gives this host a disk"),
		Entry("a voter that is not an entry host", `["entry-a1", "entry-b1", "entry-c1"]`, `["entry-a1", "entry-b1", "entry-z1"]`, "groups[0].voters", "not in the host list"),
		Entry("a group of two", "witnesses = [\"entry-c1\"]", "", "groups[2].voters", "allowed: 1, 3, 5 or 7"),
		Entry("one replica without consent", `voters = ["entry-a1", "entry-a2", "entry-a3"]`, `voters = ["entry-a1"]`, "groups[1].voters", "single_disk = true"),
		Entry("consent without one replica", `voters = ["entry-a1", "entry-a2", "entry-a3"]`,
			"voters = [\"entry-a1\", \"entry-a2\", \"entry-a3\"]\nsingle_disk = true", "groups[1].single_disk", "only for a group with one replica"),
		Entry("a witness in its own data centre", `witnesses = ["entry-c1"]`, `witnesses = ["entry-b2"]`, "groups[2].witnesses", "already in"),
		Entry("a voter of another data centre", `voters = ["entry-c1", "entry-c2"]`, `voters = ["entry-c1", "entry-b2"]`, "groups[3].voters", `is in data centre "dc-b"`),
		Entry("a data centre without a group", "[[groups]]\nname = \"dc-c\"\nvoters = [\"entry-c1\", \"entry-c2\"]\nwitnesses = [\"entry-a1\"]", "", "groups", `has no group "dc-c"`),
		Entry("a lease below the silence limit", `# lease = "5s"`, `lease = "2s"`, "timing.lease", "allowed: at least 3s"),
		Entry("a silence limit below the poll wait", `# poll_wait = "1s"`, `poll_wait = "3s"`, "timing.silence_limit", "every idle poll would look silent"),
		Entry("a message smaller than its content", `# message_bytes = 4194304`, `message_bytes = 500000`, "limits.message_bytes", "allowed: at least 589824"),
		Entry("only weights of 0", "moves_weight = 2.0               # only the ratios of the weights matter\nbuffer_weight = 2.0\nrollout_weight = 1.0",
			"moves_weight = 0\nbuffer_weight = 0\nrollout_weight = 0", "policy", "at least one weight"),
	)

	It("refuses a host with a disk in a group list but without one in the host list", func() {
		// Guards against a voter that loses its votes at every restart.
		Expect(problems("operator = \"192.0.2.22:7103\"\nhas_disk = true", "operator = \"192.0.2.22:7103\"")).To(ConsistOf(
			HaveField("Reason", `"entry-b2" has no disk`)))
	})
})

var _ = Describe("Check", func() {
	It("summarises accepted settings and warns about open listeners", func() {
		// Guards against a listener that is exposed by mistake.
		path := filepath.Join(GinkgoT().TempDir(), "a.toml")
		Expect(os.WriteFile(path, []byte(example()), 0o600)).To(Succeed())
		var out bytes.Buffer
		Expect(settings.Check(path, &out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("accepted: host entry-a1 in data centre dc-a, entry hosts: 7, groups: 4\n"))
		Expect(out.String()).To(ContainSubstring("warning: listen.operator is open to the network without TLS\n"))
	})

	It("refuses certificate files that cannot be used", func() {
		// Guards against a mistake that is found only when the daemon has been
		// stopped and cannot start again.
		path := filepath.Join(GinkgoT().TempDir(), "a.toml")
		text := example() + "\n[tls.peer]\ncertificate = \"/nonexistent/c.pem\"\nkey = \"/nonexistent/k.pem\"\n"
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		Expect(settings.Check(path, &bytes.Buffer{})).To(MatchError(ContainSubstring("tls.peer: TLS files: /nonexistent/c.pem")))
	})
})

// writeFiles writes a self-signed certificate, which is its own authority, and
// its key.
func writeFiles(folder string) settings.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "op"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	f := settings.TLSFiles{
		Certificate: filepath.Join(folder, "c.pem"), Key: filepath.Join(folder, "k.pem"), CA: filepath.Join(folder, "c.pem"), Mutual: true,
	}
	Expect(os.WriteFile(f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	Expect(os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600)).To(Succeed())
	return f
}

var _ = Describe("TLSFiles", func() {
	handshake := func(server, client *tls.Config) error {
		listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		result := make(chan error, 1)
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				err = conn.(*tls.Conn).Handshake()
				_ = conn.Close()
			}
			result <- err
		}()
		conn, err := tls.Dial("tcp", listener.Addr().String(), client)
		if err == nil {
			_ = conn.Close()
		}
		return <-result
	}

	It("accepts only connections with a certificate if mutual is set", func() {
		// Guards against a peer listener that anyone can call.
		files := writeFiles(GinkgoT().TempDir())
		server, err := files.ServerConfig()
		Expect(err).NotTo(HaveOccurred())
		client, err := files.ClientConfig()
		Expect(err).NotTo(HaveOccurred())
		Expect(handshake(server, client)).To(Succeed())
		client.Certificates = nil
		Expect(handshake(server, client)).NotTo(Succeed())
	})

	It("gives no configuration without certificates", func() {
		// Guards against TLS that an empty section enables.
		var files settings.TLSFiles
		Expect(files.ServerConfig()).To(BeNil())
		Expect(files.ClientConfig()).To(BeNil())
	})
})
