package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/maphash"
	"io"
	"sync"

	"github.com/gentiantrail/gentiantrail/internal/quarantine"
)

// fingerprintBytes is the length of a fingerprint before its encoding. Callers choose the content
// of requests, so two of them must not be made to have the same one.
const fingerprintBytes = 12

// identity is what a request has in common with its repeats: the host, path, caller and body are
// those of each of them, while the attempt id and the deadline are new.
type identity struct {
	once        sync.Once
	fingerprint string
	subjects    []string
}

// fingerprint returns the request's fingerprint. It reads the whole body when it is first called.
func (x *exchange) fingerprint() string {
	x.identity.once.Do(x.readIdentity)
	return x.identity.fingerprint
}

// subjects returns the parts of the request's prompt and its fingerprint, which evidence on
// crashes can speak against. It reads the whole body when it is first called.
func (x *exchange) subjects() []string {
	x.identity.once.Do(x.readIdentity)
	return x.identity.subjects
}

func (x *exchange) readIdentity() {
	h := sha256.New()
	x.writeIdentity(h)
	x.identity.fingerprint = quarantine.RequestPrefix + hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
	subjects := append(make([]string, 0, len(x.sharedParts)+2), x.sharedParts...)
	if x.ownPart != "" {
		subjects = append(subjects, x.ownPart)
	}
	x.identity.subjects = append(subjects, x.identity.fingerprint)
}

// writeIdentity writes what identifies the request to a hash, which returns no errors.
func (x *exchange) writeIdentity(h io.Writer) {
	for _, field := range []string{x.req.Method, x.req.Header.Get("Host"), x.req.Target, x.caller()} {
		// With its length, so that no two lists of fields read the same.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(x.req.Body)
}

// caller returns the name of the organisation that sent the request, or else its credentials.
func (x *exchange) caller() string {
	if x.organisation != nil {
		return x.organisation.Name
	}
	return x.req.Header.Get(headerAuthorization)
}

// localKeys are short keys of a request's own part and identity that only this process can compute,
// so that callers can't choose two with the same ones. They cost far less than a fingerprint.
type localKeys struct {
	ownPart, request uint64
}

func (x *exchange) localKeys(seed maphash.Seed) localKeys {
	var h maphash.Hash
	h.SetSeed(seed)
	x.writeIdentity(&h)
	return localKeys{ownPart: maphash.String(seed, x.ownPart), request: h.Sum64()}
}
