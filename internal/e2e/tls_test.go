package e2e_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/peer"
)

// operatorName is the common name of the operator's certificate.
const operatorName = "alex"

// authority signs certificates for the loopback address.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority() *authority {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{certificate: certificate, key: key}
}

// issue returns a certificate that is valid until the given time.
func (a *authority) issue(name string, until time.Time) tls.Certificate {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// trusting returns the configuration of a client that trusts the authority
// and presents these certificates.
func (a *authority) trusting(certificates ...tls.Certificate) *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, Certificates: certificates}
}

// client returns the configuration of a client with a valid certificate.
func (a *authority) client(name string) *tls.Config {
	GinkgoHelper()
	return a.trusting(a.issue(name, time.Now().Add(time.Hour)))
}

func (r *region) authorityFile() string              { return filepath.Join(r.folder, "authority.pem") }
func (r *region) certificateFile(name string) string { return filepath.Join(r.folder, name+".pem") }
func (r *region) keyFile(name string) string         { return filepath.Join(r.folder, name+"-key.pem") }

// secure writes the certificates of all hosts and of the operator.
func (r *region) secure() {
	GinkgoHelper()
	writePEM(r.authorityFile(), "CERTIFICATE", r.authority.certificate.Raw)
	for _, h := range r.hosts {
		r.writeCertificate(h.name, r.authority)
		h.operators = &http.Client{Transport: &http.Transport{TLSClientConfig: r.authority.client(operatorName)}}
		h.operatorScheme = "https://"
	}
	r.writeCertificate(operatorName, r.authority)
}

func (r *region) writeCertificate(name string, by *authority) {
	GinkgoHelper()
	c := by.issue(name, time.Now().Add(time.Hour))
	key, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	Expect(err).NotTo(HaveOccurred())
	writePEM(r.certificateFile(name), "CERTIFICATE", c.Certificate[0])
	writePEM(r.keyFile(name), "PRIVATE KEY", key)
}

func writePEM(path, kind string, der []byte) {
	GinkgoHelper()
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

// refusedClients are clients that a listener with mutual TLS must not serve.
// All of them accept the listener's own certificate.
func (r *region) refusedClients() map[string]*tls.Config {
	return map[string]*tls.Config{
		"without a certificate":               r.authority.trusting(),
		"of another authority":                r.authority.trusting(newAuthority().issue("entry-a1", time.Now().Add(time.Hour))),
		"with a certificate that has expired": r.authority.trusting(r.authority.issue("entry-a1", time.Now().Add(-time.Hour))),
		"without TLS":                         nil,
	}
}

// callPeer makes one peer call and returns its error.
func callPeer(h *host, config *tls.Config) error {
	handler, err := peer.NewDialer(peer.DialerConfig{
		Addresses: map[string]string{h.name: h.peer}, TLS: config, Clock: clock.System{},
	}).Dial(h.name)
	Expect(err).NotTo(HaveOccurred())
	_, err = handler.GroupStatus(context.Background(), &peer.GroupStatusRequest{})
	return err
}

// callHTTP calls a path of a listener and returns the status, or 0 if the
// connection is refused. A listener with TLS answers 400 without it.
func callHTTP(address, path string, config *tls.Config) int {
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	request, err := http.NewRequest(http.MethodGet, scheme+address+path, nil)
	Expect(err).NotTo(HaveOccurred())
	transport := &http.Transport{TLSClientConfig: config}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

var _ = Describe("A region with TLS", func() {
	It("serves requests and refuses peers, targets and operators without a valid certificate", func() {
		// Guards against listeners that serve anyone, and against parts that
		// cannot reach each other once TLS is on.
		r := newRegion(newAuthority()).run(nil)
		b := body("plotter_order", 20*time.Millisecond)
		for _, s := range r.sendMany(28, "tls", b, r.callers(), nil) {
			Expect(s.err).NotTo(HaveOccurred())
			Expect(s.response.Outcome).To(Equal(model.OutcomeDone), s.response.Reason)
			Expect(r.runs(s.key)).To(Equal(1))
		}
		events, err := get[query.Events](r.hosts[3], "/v1/events?limit=1000")
		Expect(err).NotTo(HaveOccurred())
		Expect(events.Events).To(ContainElement(HaveField("Actor", operatorName)), "the certificate names the operator")

		for _, h := range r.hosts {
			valid := r.authority.client("entry-a1")
			Expect(callPeer(h, valid)).To(Succeed())
			Expect(callHTTP(h.operator, "/v1/records", valid)).To(Equal(http.StatusOK))
			// A method that the path does not have is refused after the handshake.
			Expect(callHTTP(h.target, "/v1/announce", valid)).To(Equal(http.StatusMethodNotAllowed))
			for what, config := range r.refusedClients() {
				Expect(callPeer(h, config)).NotTo(Succeed(), what)
				Expect(callHTTP(h.operator, "/v1/records", config)).To(BeElementOf(0, http.StatusBadRequest), what)
				Expect(callHTTP(h.target, "/v1/announce", config)).To(BeElementOf(0, http.StatusBadRequest), what)
			}
		}
		out, err := runCtl("-server", r.hosts[0].operator, "-tls-ca", r.authorityFile(), "hosts")
		Expect(err).To(HaveOccurred(), out)
		r.refusesDaemon(r.host("entry-c2"))
	})
})

// refusesDaemon restarts a host with a certificate of another authority, and
// then with a valid one.
func (r *region) refusesDaemon(h *host) {
	GinkgoHelper()
	r.kill(h)
	r.writeCertificate(h.name, newAuthority())
	r.start(h)
	Eventually(func() int { return callHTTP(h.diagnostics, "/healthz", nil) }).
		WithTimeout(settleLimit).WithPolling(pollEvery).Should(Equal(http.StatusOK))
	Consistently(func() int { return callHTTP(h.diagnostics, "/readyz", nil) }).
		WithTimeout(5 * time.Second).WithPolling(pollEvery).Should(Equal(http.StatusServiceUnavailable))
	status, err := get[query.Status](r.hosts[0], "/v1/status")
	Expect(err).NotTo(HaveOccurred())
	Expect(status.Unreachable).To(ConsistOf(h.name))
	r.kill(h)
	r.writeCertificate(h.name, r.authority)
	r.start(h)
	r.waitReady(h)
}
