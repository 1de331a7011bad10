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

// authority is a certificate authority that signs certificates for the
// loopback address.
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

// trustingConfig returns the configuration of a client that trusts the
// authority and presents the given certificates.
func (a *authority) trustingConfig(certificates ...tls.Certificate) *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, Certificates: certificates}
}

// clientConfig returns the configuration of a client with a valid certificate.
func (a *authority) clientConfig(name string) *tls.Config {
	GinkgoHelper()
	return a.trustingConfig(a.issue(name, time.Now().Add(time.Hour)))
}

func (r *region) authorityFile() string              { return filepath.Join(r.folder, "authority.pem") }
func (r *region) certificateFile(name string) string { return filepath.Join(r.folder, name+".pem") }
func (r *region) keyFile(name string) string         { return filepath.Join(r.folder, name+"-key.pem") }

// writeCertificates writes the certificates of all hosts and of the operator.
func (r *region) writeCertificates() {
	GinkgoHelper()
	writePEM(r.authorityFile(), "CERTIFICATE", r.authority.certificate.Raw)
	for _, h := range r.hosts {
		r.writeCertificate(h.name, r.authority)
		h.operatorClient = &http.Client{Transport: &http.Transport{TLSClientConfig: r.authority.clientConfig(operatorName)}}
		h.operatorScheme = "https://"
	}
	r.writeCertificate(operatorName, r.authority)
}

func (r *region) writeCertificate(name string, ca *authority) {
	GinkgoHelper()
	c := ca.issue(name, time.Now().Add(time.Hour))
	key, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	Expect(err).NotTo(HaveOccurred())
	writePEM(r.certificateFile(name), "CERTIFICATE", c.Certificate[0])
	writePEM(r.keyFile(name), "PRIVATE KEY", key)
}

func writePEM(path, kind string, der []byte) {
	GinkgoHelper()
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

// refusedClientConfigs returns configurations of clients that a listener with
// mutual TLS must refuse. Those with TLS trust the listener's certificate, so
// that only their own certificate can be the reason.
func (r *region) refusedClientConfigs() map[string]*tls.Config {
	return map[string]*tls.Config{
		"without a certificate":               r.authority.trustingConfig(),
		"of another authority":                r.authority.trustingConfig(newAuthority().issue("entry-a1", time.Now().Add(time.Hour))),
		"with a certificate that has expired": r.authority.trustingConfig(r.authority.issue("entry-a1", time.Now().Add(-time.Hour))),
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

// httpStatus sends a GET request to a listener and returns the status, or 0 if
// the connection fails. A listener with TLS answers plain HTTP with status 400.
func httpStatus(address, path string, config *tls.Config) int {
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
		// Guards against listeners that serve unauthenticated clients, and against
		// processes that cannot reach each other when TLS is enabled.
		r := newRegion(newAuthority()).run(nil)
		b := requestBody("plotter_order", 20*time.Millisecond)
		for _, s := range r.sendMany(28, "tls", b, r.callerAddresses(), nil) {
			Expect(s.err).NotTo(HaveOccurred())
			Expect(s.response.Outcome).To(Equal(model.OutcomeDone), s.response.Reason)
			Expect(r.runCount(s.key)).To(Equal(1))
		}
		events, err := getJSON[query.Events](r.hosts[3], "/v1/events?limit=1000")
		Expect(err).NotTo(HaveOccurred())
		Expect(events.Events).To(ContainElement(HaveField("Actor", operatorName)), "the certificate names the operator")

		for _, h := range r.hosts {
			valid := r.authority.clientConfig("entry-a1")
			Expect(callPeer(h, valid)).To(Succeed())
			Expect(httpStatus(h.operator, "/v1/records", valid)).To(Equal(http.StatusOK))
			// The path does not support GET: status 405 shows that the TLS handshake
			// succeeded.
			Expect(httpStatus(h.target, "/v1/announce", valid)).To(Equal(http.StatusMethodNotAllowed))
			for what, config := range r.refusedClientConfigs() {
				Expect(callPeer(h, config)).NotTo(Succeed(), what)
				Expect(httpStatus(h.operator, "/v1/records", config)).To(BeElementOf(0, http.StatusBadRequest), what)
				Expect(httpStatus(h.target, "/v1/announce", config)).To(BeElementOf(0, http.StatusBadRequest), what)
			}
		}
		out, err := runCtl("-server", r.hosts[0].operator, "-tls-ca", r.authorityFile(), "hosts")
		Expect(err).To(HaveOccurred(), out)
		r.expectDaemonRefused(r.host("entry-c2"))
	})
})

// expectDaemonRefused restarts a host with a certificate of another authority
// and expects that it neither becomes ready nor is reached by others. It then
// restarts the host with a valid certificate.
func (r *region) expectDaemonRefused(h *host) {
	GinkgoHelper()
	r.kill(h)
	r.writeCertificate(h.name, newAuthority())
	r.start(h)
	Eventually(func() int { return httpStatus(h.diagnostics, "/healthz", nil) }).
		WithTimeout(settleTimeout).WithPolling(pollInterval).Should(Equal(http.StatusOK))
	Consistently(func() int { return httpStatus(h.diagnostics, "/readyz", nil) }).
		WithTimeout(5 * time.Second).WithPolling(pollInterval).Should(Equal(http.StatusServiceUnavailable))
	status, err := getJSON[query.Status](r.hosts[0], "/v1/status")
	Expect(err).NotTo(HaveOccurred())
	Expect(status.Unreachable).To(ConsistOf(h.name))
	r.kill(h)
	r.writeCertificate(h.name, r.authority)
	r.start(h)
	r.waitReady(h)
}
