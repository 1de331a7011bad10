package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"

	"agatehaven.dev/agatehaven/internal/fault"
)

// TLSFiles holds the paths of the PEM files for one listener and for the
// processes that connect to it.
type TLSFiles struct {
	Certificate string
	Key         string
	// CA is the file with the authorities that sign the other side's certificate.
	CA string
	// Mutual requires clients to present a certificate.
	Mutual bool
}

// Enabled reports whether the listener uses TLS.
func (f *TLSFiles) Enabled() bool { return f.Certificate != "" }

// ServerConfig returns the TLS configuration of the listener, or nil without
// TLS. It returns *fault.Invalid if a file is unreadable or invalid.
func (f *TLSFiles) ServerConfig() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	config, err := f.baseConfig()
	if err != nil {
		return nil, err
	}
	if f.Mutual {
		config.ClientCAs, config.RootCAs = config.RootCAs, nil
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// ClientConfig returns the TLS configuration for connections to the listener,
// or nil if neither a certificate nor a CA is set. It returns *fault.Invalid if
// a file is unreadable or invalid.
func (f *TLSFiles) ClientConfig() (*tls.Config, error) {
	if !f.Enabled() && f.CA == "" {
		return nil, nil
	}
	return f.baseConfig()
}

func (f *TLSFiles) baseConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if f.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
		if err != nil {
			return nil, invalidFile(f.Certificate+" and "+f.Key, err.Error(), "a PEM certificate and its private key")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	if f.CA != "" {
		data, err := os.ReadFile(f.CA)
		if err != nil {
			return nil, invalidFile(f.CA, err.Error(), "a readable PEM file")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(data) {
			return nil, invalidFile(f.CA, "holds no certificate", "PEM certificates of authorities")
		}
	}
	return config, nil
}

func invalidFile(path, reason, allowed string) error {
	return eris.Wrap(&fault.Invalid{Field: path, Reason: reason, Allowed: allowed}, "TLS files")
}
