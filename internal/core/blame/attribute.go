package blame

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/azurespan/azurespan/internal/core/poison"
)

type (
	// Request is what the attributes of a request are taken from.
	Request struct {
		// Caller is the address of the connection's other end. Callers behind a
		// balancer have the same one, and one caller may have many.
		Caller               string
		Method, Target, Path string
		// Model and Adapter are empty for plain services.
		Model, Adapter string
		Body           []byte
		// Parts are the shared parts of the prompt.
		Parts []string
	}

	// breadth is how many requests may have an attribute in common. The wider it is,
	// the more evidence is needed, since sound requests are refused for it too.
	breadth uint8
)

const (
	// single attributes name the caller: requests that have one in common are
	// repetitions by one caller, or by several behind one address.
	single breadth = iota
	// repeated attributes are those of the same request from anyone. A listing that
	// many poll has them, too.
	repeated
	// shared attributes are those of different requests.
	shared
	// ignored histories are not judged: their kind is unknown here.
	ignored
)

// maxWhole is the number of attributes of a request other than the parts of its prompt.
const maxWhole = 7

// Beginnings of keys. The key that names all of a request has none, as histories of
// requests have had from the beginning.
const (
	callerKey  = "caller:"  // caller, path and body
	requestKey = "request:" // method, target, model, adapter and body
	contentKey = "content:" // path and body
	bodyKey    = "body:"
	pathKey    = "path:"
	modelKey   = "model:" // model and adapter
	// versionKey begins the key of an attribute at one software version: a digest of
	// the version and the attribute's own key follow.
	versionKey = "version:"
)

// Attributes returns the keys of the histories that concern a request, that of all that
// its caller sent first. Without a body, the path stands for path and body.
func Attributes(r *Request) []string {
	body := ""
	if len(r.Body) > 0 {
		body = digest(string(r.Body))
	}
	keys := append(make([]string, 0, maxWhole+len(r.Parts)),
		fingerprint(r),
		callerKey+digest(r.Caller, r.Path, body),
		requestKey+digest(r.Method, r.Target, r.Model, r.Adapter, body),
		pathKey+digest(r.Path))
	if body != "" {
		keys = append(keys, contentKey+digest(r.Path, body), bodyKey+body)
	}
	if r.Model != "" {
		keys = append(keys, modelKey+digest(r.Model, r.Adapter))
	}
	return append(keys, Parts(r.Parts)...)
}

// Parts returns the keys of the first maxPartsPerRequest parts of a prompt.
func Parts(ids []string) []string {
	keys := make([]string, min(len(ids), maxPartsPerRequest))
	for i := range keys {
		keys[i] = poison.PartKey(ids[i])
	}
	return keys
}

// AtVersion returns keys, and for those that aren't shared also the keys of their histories
// at a software version of the upstreams. They are kept while a service has several
// versions, so that one which runs a request without harm doesn't clear it of the crashes
// of another one.
func AtVersion(keys []string, version string) []string {
	out := slices.Clone(keys)
	prefix := versionKey + digest(version) + ":"
	for _, k := range keys {
		if breadthOf(k) != shared {
			out = append(out, prefix+k)
		}
	}
	return out
}

// attributeOf returns the key of the attribute whose history at one version has a key,
// and false for other keys.
func attributeOf(key string) (attribute string, ok bool) {
	if key, ok = strings.CutPrefix(key, versionKey); !ok {
		return "", false
	}
	_, attribute, ok = strings.Cut(key, ":")
	return attribute, ok
}

// breadthOf returns the breadth of the attribute with a key.
func breadthOf(key string) breadth {
	if attribute, ok := attributeOf(key); ok {
		key = attribute
	}
	kind, _, found := strings.Cut(key, ":")
	if !found {
		return single
	}
	switch kind + ":" {
	case callerKey:
		return single
	case requestKey, contentKey, bodyKey:
		return repeated
	case pathKey, modelKey, poison.PartKey(""):
		return shared
	}
	return ignored
}

// fingerprint returns the key that names all of a request. Daemons of earlier versions
// compute the same.
func fingerprint(r *Request) string {
	h := fnv.New128a()
	for _, s := range []string{r.Caller, r.Method, r.Target, r.Model, r.Adapter} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// digestBytes is the length of a digest in a key. A day of the largest deployment has
// 10^9 attributes, two of which have the same digest of 64 bits with a probability of 3%.
const digestBytes = 8

// digest returns the beginning of a cryptographic hash of fields, so that no caller can
// make a request that is taken for another one's.
func digest(fields ...string) string {
	h := sha256.New()
	for _, s := range fields {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}
