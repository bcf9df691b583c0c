package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	kind, name        string
	revision, created int64
	specification     json.RawMessage
}

func (o *object) encode() string {
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":%d,"finalizers":[],"deleting":false},"specification":%s,"status":null}`,
		o.name, o.revision, o.created, o.specification)
}

type change struct {
	object  object
	removed bool
}

// store simulates the platform's metadata store. Each machine calls it at an address of its own, so that the store can
// tell the machines apart.
type store struct {
	record *record

	mu       sync.Mutex
	cond     *sync.Cond
	revision int64
	objects  map[string]object
	history  []change
	// loseFor names the machine whose next answer with events to a watch of the kind loseKind is lost.
	loseFor, loseKind string
	lost              int
	// rewrite, if set, returns the specification of an object as a machine sees it.
	rewrite func(machine string, o *object) json.RawMessage
}

func newStore(r *record) *store {
	s := &store{record: r, revision: 1, objects: map[string]object{}}
	s.cond = sync.NewCond(&s.mu)
	return s
}

// listen returns the store's address for a machine.
func (s *store) listen(machine string) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) })}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), nil
}

// put writes an object as the operator or a server does, and returns the time of the acknowledgement. A nil
// specification removes the object.
func (s *store) put(kind, name string, specification any) time.Time {
	raw, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw, specification == nil)
	return time.Now()
}

// loseNext makes the store lose its next answer with events to a machine's watch of a kind.
func (s *store) loseNext(machine, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseFor, s.loseKind = machine, kind
}

// answersLost returns the number of answers that were lost.
func (s *store) answersLost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

func (s *store) write(kind, name string, raw json.RawMessage, remove bool) object {
	s.revision++
	key := kind + "/" + name
	o, known := s.objects[key]
	if !known {
		o = object{kind: kind, name: name, created: s.revision}
	}
	if remove {
		delete(s.objects, key)
	} else {
		o.revision, o.specification = s.revision, raw
		s.objects[key] = o
	}
	s.history = append(s.history, change{object: o, removed: remove})
	if remove {
		s.history[len(s.history)-1].object.revision = s.revision
	}
	s.cond.Broadcast()
	return o
}

func (s *store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	kind, name, single := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodGet && single:
		o, ok := s.objects[kind+"/"+name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = fmt.Fprint(w, o.encode())
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(machine, w, r, kind)
	case r.Method == http.MethodGet:
		items := []string{}
		for _, o := range s.objects {
			if o.kind == kind {
				if s.rewrite != nil {
					o.specification = s.rewrite(machine, &o)
				}
				items = append(items, o.encode())
			}
		}
		_, _ = fmt.Fprintf(w, `{"items":[%s],"truncated":false,"storeRevision":%d}`, strings.Join(items, ","), s.revision)
	case r.Method == http.MethodDelete:
		o, ok := s.objects[kind+"/"+name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.write(kind, name, o.specification, true)
		_, _ = fmt.Fprint(w, o.encode())
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Specification json.RawMessage `json:"specification"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = body.Metadata.Name
	}
	old, known := s.objects[kind+"/"+name]
	switch {
	case known && r.Method == http.MethodPost || body.Metadata.Revision != 0 && body.Metadata.Revision != old.revision:
		w.WriteHeader(http.StatusConflict)
		_, _ = fmt.Fprint(w, old.encode())
		return
	case !known && r.Method == http.MethodPut:
		w.WriteHeader(http.StatusNotFound)
		return
	case known && string(old.specification) == string(body.Specification):
		_, _ = fmt.Fprint(w, old.encode()) // changes nothing
		return
	}
	o := s.write(kind, name, body.Specification, false)
	_, _ = fmt.Fprint(w, o.encode())
}

func (s *store) serveWatch(machine string, w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(deadline)+time.Millisecond, s.cond.Broadcast)
	defer timer.Stop()
	for {
		var events []string
		for i := range s.history {
			if c := &s.history[i]; c.object.kind == kind && c.object.revision > after {
				events = append(events, fmt.Sprintf(`{"tombstone":%t,"object":%s}`, c.removed, c.object.encode()))
			}
		}
		expired := !time.Now().Before(deadline) || r.Context().Err() != nil
		if len(events) > 0 && s.loseFor == machine && s.loseKind == kind {
			s.loseFor, s.loseKind = "", ""
			s.lost++
			s.record.linef("the store loses its answer with %d event(s) to the watch of %s by %s; its connection returns nothing further", len(events), kind, machine)
			s.mu.Unlock()
			<-r.Context().Done() // until the caller closes the connection
			s.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || expired {
			_, _ = fmt.Fprintf(w, `{"events":[%s],"storeRevision":%d}`, strings.Join(events, ","), s.revision)
			return
		}
		s.cond.Wait()
	}
}
