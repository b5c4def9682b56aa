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

// tlsConfigs returns the configurations of the peer and caller listeners, nil
// where none is set.
func tlsConfigs(s *setup.Settings) (peers, callers *tls.Config, err error) {
	if peers, err = tlsConfig(s.TLS.PeerCertificate, s.TLS.PeerKey, s.TLS.PeerCA); err != nil {
		return nil, nil, err
	}
	if peers != nil {
		// Peers are known by IP numbers that change with each replacement;
		// the certificate's chain and the shared secret identify them.
		peers.InsecureSkipVerify = true
		peers.VerifyConnection = verifyChain(peers.RootCAs)
	}
	if callers, err = tlsConfig(s.TLS.CallerCertificate, s.TLS.CallerKey, s.TLS.CallerCA); err != nil {
		return nil, nil, err
	}
	return peers, callers, nil
}

// tlsConfig reads PEM files. A ca requires certificates of clients.
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

// verifyChain checks the other side's certificate against roots, without its
// names.
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
