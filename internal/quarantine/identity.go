package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/maphash"
	"io"
)

// RequestPrefix begins the subjects that are fingerprints of requests; no other subject has it.
const RequestPrefix = "request:"

// fingerprintBytes is the length of a fingerprint before its encoding. Callers choose the content
// of requests, so two of them must not be made to have the same one.
const fingerprintBytes = 12

// Identity is what a request has in common with its repeats, such as its path, caller and body,
// while the ids of attempts and deadlines are new.
type Identity struct {
	Fields []string
	Body   []byte
}

// Fingerprint returns the subject of the request itself. It reads the whole body.
func (id Identity) Fingerprint() string {
	h := sha256.New()
	id.write(h)
	return RequestPrefix + hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// LocalKey returns a short key that costs far less than a fingerprint. Only the process with the
// seed can compute it, so callers can't choose two requests with the same one.
func (id Identity) LocalKey(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	id.write(&h)
	return h.Sum64()
}

// write writes the identity to a hash, which returns no errors.
func (id Identity) write(h io.Writer) {
	for _, field := range id.Fields {
		// With its length, so that no two lists of fields read the same.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(id.Body)
}
