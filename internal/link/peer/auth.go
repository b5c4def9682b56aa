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

	// clientRole and serverRole are the role bytes of the proofs.
	clientRole = 'c'
	serverRole = 's'
)

// AuthError reports a peer whose proof does not match the shared secret.
type AuthError struct{ Address string }

// Error names the peer's address.
func (e *AuthError) Error() string {
	return "peer: " + e.Address + " does not know the shared secret"
}

// proof returns the HMAC of the role and the nonces of client and server.
func proof(secret []byte, role byte, clientNonce, serverNonce []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte{role})
	h.Write(clientNonce)
	h.Write(serverNonce)
	return h.Sum(nil)
}

// authenticate runs the handshake on c. Both sides send a nonce and then a proof
// over both nonces. The role byte prevents reflection attacks, in which a peer
// sends back the proof that it has received.
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
	remote := make([]byte, nonceBytes)
	if _, err := io.ReadFull(c, remote); err != nil {
		return merry.Wrap(err)
	}
	ownRole, remoteRole := byte(serverRole), byte(clientRole)
	clientNonce, serverNonce := remote, own
	if client {
		ownRole, remoteRole = clientRole, serverRole
		clientNonce, serverNonce = own, remote
	}
	if _, err := c.Write(proof(secret, ownRole, clientNonce, serverNonce)); err != nil {
		return merry.Wrap(err)
	}
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, got); err != nil {
		return merry.Wrap(err)
	}
	if !hmac.Equal(got, proof(secret, remoteRole, clientNonce, serverNonce)) {
		return &AuthError{Address: c.RemoteAddr().String()}
	}
	return merry.Wrap(c.SetDeadline(time.Time{}))
}
