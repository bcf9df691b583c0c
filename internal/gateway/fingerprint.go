package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"sync"
)

// fingerprintPrefix distinguishes a fingerprint from the id of a part of a prompt, which has no
// colon.
const fingerprintPrefix = "request:"

// fingerprintBytes is the length of a fingerprint before its encoding. Callers choose the content
// of requests, so two of them must not be made to have the same one.
const fingerprintBytes = 12

// fingerprint identifies a request across its repeats: the host, path, caller and body are those
// of each of them, while the attempt id and the deadline are new.
type fingerprint struct {
	once sync.Once
	text string
}

// fingerprint returns the request's fingerprint. It reads the whole body when it is first called.
func (x *exchange) fingerprint() string {
	x.print.once.Do(func() {
		h := sha256.New()
		for _, field := range []string{x.req.Method, x.req.Header.Get("Host"), x.req.Target, x.caller()} {
			writeField(h, field)
		}
		_, _ = h.Write(x.req.Body) // a hash returns no error
		x.print.text = fingerprintPrefix + hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
	})
	return x.print.text
}

// writeField writes a field with its length, so that no two lists of fields read the same.
func writeField(w io.Writer, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = w.Write(length[:]) // a hash returns no error
	_, _ = io.WriteString(w, field)
}

// caller returns the name of the organisation that sent the request, or else its credentials.
func (x *exchange) caller() string {
	if x.organisation != nil {
		return x.organisation.Name
	}
	return x.req.Header.Get(headerAuthorization)
}
