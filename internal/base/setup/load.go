package setup

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// Load reads the settings file at path and the files that it names: the shared
// secret, and the certificates, which it validates. Relative names are resolved
// against the directory of path and returned joined with it. The error joins
// one *Problem for each fault; see Problems.
func Load(path string) (*Settings, error) {
	p := &parser{file: path, lines: map[*field]int{}}
	b, err := readFile(path, maxFileBytes)
	if err != nil {
		p.add(&Problem{Kind: Unreadable, Detail: err.Error()})
		return p.result()
	}
	p.read(b)
	p.readSecretFile()
	t := &p.settings.TLS
	p.checkCertificates("caller", &t.CallerCertificate, &t.CallerKey, &t.CallerCA)
	p.checkCertificates("peer", &t.PeerCertificate, &t.PeerKey, &t.PeerCA)
	return p.result()
}

// readFile returns at most the first limit+1 bytes of a file, so that the caller
// can detect a file above the limit.
func readFile(path string, limit int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, limit+1))
}

// resolve joins a relative name with the directory of the settings file.
func (p *parser) resolve(name *string) {
	if *name != "" && !filepath.IsAbs(*name) {
		*name = filepath.Join(filepath.Dir(p.file), *name)
	}
}

func (p *parser) fileProblem(section, key string, kind ProblemKind, detail string) {
	f, _ := lookup(section, key)
	p.add(&Problem{Kind: kind, Line: p.lines[f], Section: section, Key: key, Detail: detail, Allowed: f.allowed})
}

// maxSecretFileBytes limits how much of the secret's file is read. It exceeds
// maxSecretBytes, so that a secret that is too long is found and not truncated.
const maxSecretFileBytes = 4096

func (p *parser) readSecretFile() {
	s := &p.settings.Secret
	if s.SharedSecretFile == "" || s.SharedSecret != "" {
		return
	}
	p.resolve(&s.SharedSecretFile)
	b, err := readFile(s.SharedSecretFile, maxSecretFileBytes)
	if err != nil {
		p.fileProblem("secret", "shared-secret-file", Unreadable, err.Error())
		return
	}
	secret := strings.TrimRight(string(b), "\r\n")
	if !validSecretLength(secret) {
		p.fileProblem("secret", "shared-secret-file", OutOfRange, "the secret has "+itoa(len(secret))+" bytes")
		return
	}
	s.SharedSecret = SecretText(secret)
}

// checkCertificates resolves the names of the files with the given key prefix,
// caller or peer, and validates their contents.
func (p *parser) checkCertificates(prefix string, certificate, key, ca *string) {
	p.resolve(certificate)
	p.resolve(key)
	p.resolve(ca)
	if *certificate != "" && *key != "" {
		if _, err := tls.LoadX509KeyPair(*certificate, *key); err != nil {
			p.fileProblem("tls", prefix+"-certificate", Unreadable, err.Error())
		}
	}
	if *ca == "" {
		return
	}
	b, err := readFile(*ca, maxFileBytes)
	if err != nil {
		p.fileProblem("tls", prefix+"-ca", Unreadable, err.Error())
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(b) {
		p.fileProblem("tls", prefix+"-ca", BadValue, "the file contains no certificate")
	}
}
