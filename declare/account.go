package declare

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

type (
	// Account is a client account. A configuration has the hashes of its keys only.
	Account struct {
		Name string `json:"name"`
		// KeyHashes are the SHA-256 hashes of the account's keys, 64 lower-case
		// hexadecimal digits each; see HashKey. An account without one is
		// locked. Keys are random text of at least 16 bytes: hashes of guessable
		// ones can be reversed.
		KeyHashes []string `json:"key-hashes,omitempty"`
		// Priority orders waiting requests of one class: those of accounts with
		// lower numbers go first. 0 to 9, default 0.
		Priority int `json:"priority,omitempty"`
	}

	// keyHash is a hash of a key.
	keyHash [sha256.Size]byte
)

const (
	// DefaultRevokeTime is the default of Limits.RevokeMS.
	DefaultRevokeTime = 30 * time.Second
	// MaxPriority is the highest number of Account.Priority.
	MaxPriority = 9
	// minRevokeMS is several times as long as a call to the log may take.
	minRevokeMS = 5000
)

// HashKey returns the hash of a key for Account.KeyHashes.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// RevokeTime returns the time within which no daemon serves a key that has been
// removed.
func (l *Limits) RevokeTime() time.Duration {
	if l.RevokeMS == 0 {
		return DefaultRevokeTime
	}
	return time.Duration(l.RevokeMS) * time.Millisecond
}

// parseKeyHash returns the hash in its text form; ok is false for any other text.
func parseKeyHash(text string) (h keyHash, ok bool) {
	if len(text) != hex.EncodedLen(len(h)) {
		return h, false
	}
	if n, err := hex.Decode(h[:], []byte(text)); err != nil || n != len(h) {
		return h, false
	}
	return h, hex.EncodeToString(h[:]) == text // lower case
}

// AccountByKey returns the account of a key, nil if there is none. Its time doesn't
// depend on how much of a key is right, because hashes are compared.
func (x *Index) AccountByKey(key string) *Account { return x.accountsByKey[sha256.Sum256([]byte(key))] }

// NeedsKey reports whether requests to a service need a key. A service that is not
// declared needs one too.
func (x *Index) NeedsKey(service string) bool {
	s := x.services[service]
	return len(x.Deployment.Accounts) > 0 && (s == nil || !s.Anonymous)
}

// indexAccounts fills x.accountsByKey. Keys that can't be read are left out.
func (x *Index) indexAccounts() {
	x.accountsByKey = make(map[keyHash]*Account)
	for i := range x.Deployment.Accounts {
		a := &x.Deployment.Accounts[i]
		for _, text := range a.KeyHashes {
			if h, ok := parseKeyHash(text); ok {
				x.accountsByKey[h] = a
			}
		}
	}
}

// checkAccounts checks the accounts. Details of problems don't have hashes, since
// instead of one a key may have been given.
func (c *checker) checkAccounts() {
	d := c.deployment
	clear(c.indexByName)
	holders := make(map[keyHash]int)
	for i := range d.Accounts {
		a := &d.Accounts[i]
		c.checkName("accounts", i, "name", a.Name)
		c.checkCount("accounts", i, "priority", a.Priority, 0, MaxPriority)
		if !c.checkListLength("accounts", i, "key-hashes", len(a.KeyHashes)) {
			continue
		}
		for j, text := range a.KeyHashes {
			path := func() string { return elementPath(elementPath("accounts", i, "key-hashes"), j, "") }
			h, ok := parseKeyHash(text)
			if !ok {
				c.add(BadKeyHash, path(), "a SHA-256 hash of 64 lower-case hexadecimal digits is required")
				continue
			}
			if first, ok := holders[h]; ok {
				c.add(DuplicateKeyHash, path(), "the key is also one of %s", elementPath("accounts", first, ""))
				continue
			}
			holders[h] = i
		}
	}
	if l := d.Limits; l.RevokeMS != 0 && (l.RevokeMS < minRevokeMS || l.RevokeMS > maxDeadlineMS) {
		c.add(OutOfRange, "limits.revoke-ms", "%d: allowed are 0 (the default, %d) and %d to %d, which is 24 h", l.RevokeMS, DefaultRevokeTime.Milliseconds(), minRevokeMS, maxDeadlineMS)
	}
	for i := range d.Services {
		if d.Services[i].Anonymous && len(d.Accounts) == 0 {
			c.add(Missing, "accounts", "service %s is anonymous, but no service needs a key without accounts", d.Services[i].Name)
			break
		}
	}
}
