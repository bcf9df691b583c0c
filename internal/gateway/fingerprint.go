package gateway

import (
	"hash/maphash"
	"sync"

	"github.com/gentiantrail/gentiantrail/internal/quarantine"
)

// subjects contains the subjects of a request, which are read when they are needed.
type subjects struct {
	once        sync.Once
	fingerprint string
	all         []string
}

// fingerprint returns the request's fingerprint. It reads the whole body when it is first called.
func (x *exchange) fingerprint() string {
	x.lazySubjects.once.Do(x.readSubjects)
	return x.lazySubjects.fingerprint
}

// subjects returns the parts of the request's prompt and its fingerprint, which evidence on
// crashes can speak against. It reads the whole body when it is first called.
func (x *exchange) subjects() []string {
	x.lazySubjects.once.Do(x.readSubjects)
	return x.lazySubjects.all
}

func (x *exchange) readSubjects() {
	s := &x.lazySubjects
	s.fingerprint = x.identity().Fingerprint()
	s.all = append(make([]string, 0, len(x.sharedParts)+2), x.sharedParts...)
	if x.ownPart != "" {
		s.all = append(s.all, x.ownPart)
	}
	s.all = append(s.all, s.fingerprint)
}

// identity returns what the request has in common with its repeats.
func (x *exchange) identity() quarantine.Identity {
	return quarantine.Identity{Fields: []string{x.req.Method, x.req.Header.Get("Host"), x.req.Target, x.caller()}, Body: x.req.Body}
}

// caller returns the name of the organisation that sent the request, or else its credentials.
func (x *exchange) caller() string {
	if x.organisation != nil {
		return x.organisation.Name
	}
	return x.req.Header.Get(headerAuthorization)
}

// localKeys are the local keys of a request and of its own part, which is zero if there is none.
type localKeys struct {
	request, ownPart uint64
}

func (x *exchange) localKeys(seed maphash.Seed) localKeys {
	keys := localKeys{request: x.identity().LocalKey(seed)}
	if x.ownPart != "" {
		keys.ownPart = maphash.String(seed, x.ownPart)
	}
	return keys
}
