package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/base/setup"
	"github.com/azurespan/azurespan/internal/link/peer"
)

// certAuthority is a certificate authority whose certificate is in file.
type certAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func newCertAuthority(t *testing.T, dir, name string) certAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	must.NoError(t, err)
	a := certAuthority{cert: c, key: key, file: filepath.Join(dir, name+"-ca.pem")}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

// issue returns the settings of a daemon that has a certificate of a and trusts
// the authority whose certificate is in the file ca.
func (a certAuthority) issue(t *testing.T, dir, name, ca string) *setup.Settings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	s := &setup.Settings{TLS: setup.TLS{
		PeerCertificate: filepath.Join(dir, name+".pem"), PeerKey: filepath.Join(dir, name+"-key.pem"), PeerCA: ca,
	}}
	writePEM(t, s.TLS.PeerCertificate, "CERTIFICATE", der)
	writePEM(t, s.TLS.PeerKey, "EC PRIVATE KEY", keyDER)
	return s
}

// echoService is the service that the peer server of the test provides.
type echoService struct{}

func (echoService) Echo(in string, out *string) error {
	*out = in
	return nil
}

// TestPeerTLS guards against daemons that accept a peer, as client or as server,
// whose certificate is of another authority although it knows the shared secret.
func TestPeerTLS(t *testing.T) {
	dir := t.TempDir()
	ours, theirs := newCertAuthority(t, dir, "ours"), newCertAuthority(t, dir, "theirs")
	serve := func(s *setup.Settings) string {
		conf, _, err := tlsConfigs(s)
		must.NoError(t, err)
		srv, err := peer.NewServer([]byte("secret"), conf, echoService{}, new(peer.Traffic))
		must.NoError(t, err)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go func() { _ = srv.Serve(t.Context(), l) }()
		return l.Addr().String()
	}
	call := func(s *setup.Settings, address string) error {
		conf, _, err := tlsConfigs(s)
		must.NoError(t, err)
		c := peer.NewClient([]byte("secret"), conf, new(peer.Traffic))
		defer c.Close()
		var out string
		return c.Call(t.Context(), address, "Echo", "hello", &out)
	}
	good := serve(ours.issue(t, dir, "server", ours.file))
	must.NoError(t, call(ours.issue(t, dir, "client", ours.file), good))

	var ce *peer.CallError
	must.True(t, errors.As(call(theirs.issue(t, dir, "stranger", ours.file), good), &ce))
	must.True(t, errors.As(call(&setup.Settings{}, good), &ce))
	bad := serve(theirs.issue(t, dir, "impostor", ours.file))
	must.True(t, errors.As(call(ours.issue(t, dir, "client2", ours.file), bad), &ce))
}
