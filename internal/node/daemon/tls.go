package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/setup"
)

// tlsConfigs returns the TLS configurations of the peer and caller listeners,
// nil for one without a certificate in the settings.
func tlsConfigs(s *setup.Settings) (peers, callers *tls.Config, err error) {
	if peers, err = tlsConfig(s.TLS.PeerCertificate, s.TLS.PeerKey, s.TLS.PeerCA); err != nil {
		return nil, nil, err
	}
	if peers != nil {
		// Peers are addressed by IP addresses, which change when a host is
		// replaced. They are authenticated by the certificate chain and the
		// shared secret instead of the name.
		peers.InsecureSkipVerify = true
		peers.VerifyConnection = verifyChain(peers.RootCAs)
	}
	if callers, err = tlsConfig(s.TLS.CallerCertificate, s.TLS.CallerKey, s.TLS.CallerCA); err != nil {
		return nil, nil, err
	}
	return peers, callers, nil
}

// tlsConfig reads the PEM files of a certificate, its key and optionally a
// certificate authority. With ca, clients must present a certificate of it.
func tlsConfig(cert, key, ca string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	c := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if ca == "" {
		return c, nil
	}
	b, err := os.ReadFile(ca)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, fault.New(fault.Internal, "%s has no certificate", ca)
	}
	c.ClientCAs, c.RootCAs, c.ClientAuth = pool, pool, tls.RequireAndVerifyClientCert
	return c, nil
}

// verifyChain returns a function that verifies the certificate of the other side
// against roots. It does not check the names in the certificate.
func verifyChain(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return fault.New(fault.Unauthorized, "the peer has no certificate")
		}
		opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
		for _, c := range s.PeerCertificates[1:] {
			opts.Intermediates.AddCert(c)
		}
		_, err := s.PeerCertificates[0].Verify(opts)
		return merry.Wrap(err)
	}
}

func wrapTLS(l net.Listener, c *tls.Config) net.Listener { return tls.NewListener(l, c) }
