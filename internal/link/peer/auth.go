package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 3 * time.Second
)

// AuthError reports a peer that does not know the shared secret.
type AuthError struct{ Address string }

// Error names the peer's address.
func (e *AuthError) Error() string {
	return "peer: " + e.Address + " does not know the shared secret"
}

func proof(secret []byte, role byte, a, b []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte{role})
	h.Write(a)
	h.Write(b)
	return h.Sum(nil)
}

// authenticate runs the handshake on c. Both sides send a nonce and then the
// proof over both nonces; the role byte keeps a proof from being sent back.
func authenticate(c net.Conn, secret []byte, client bool) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return merry.Wrap(err)
	}
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return merry.Wrap(err)
	}
	if _, err := c.Write(own); err != nil {
		return merry.Wrap(err)
	}
	theirs := make([]byte, nonceBytes)
	if _, err := io.ReadFull(c, theirs); err != nil {
		return merry.Wrap(err)
	}
	roles := [2]byte{'s', 'c'}
	first, second := theirs, own
	if client {
		roles = [2]byte{'c', 's'}
		first, second = own, theirs
	}
	if _, err := c.Write(proof(secret, roles[0], first, second)); err != nil {
		return merry.Wrap(err)
	}
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, got); err != nil {
		return merry.Wrap(err)
	}
	if !hmac.Equal(got, proof(secret, roles[1], first, second)) {
		return &AuthError{Address: c.RemoteAddr().String()}
	}
	return merry.Wrap(c.SetDeadline(time.Time{}))
}
