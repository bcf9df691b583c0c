package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is the platform's store: PROTOCOL.md, "The platform's metadata store".
type store struct {
	addr   string
	server http.Server

	mu       sync.Mutex
	cond     *sync.Cond
	revision int64
	objects  map[string]*object
	history  []change
	// down makes the store reset every call.
	down bool
}

type object struct {
	kind, name        string
	revision, created int64
	specification     json.RawMessage
}

type change struct {
	o         object
	tombstone bool
}

func newStore(addr string) (*store, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), revision: 1, objects: map[string]*object{}}
	s.cond = sync.NewCond(&s.mu)
	s.server.Handler = s
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// gate is an address of the store for one machine, which the store can turn away.
type gate struct {
	s    *store
	addr string
	busy atomic.Bool
}

// newGate opens an address of the store.
func (s *store) newGate(addr string) (*gate, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	g := &gate{s: s, addr: ln.Addr().String()}
	go func() { _ = (&http.Server{Handler: g}).Serve(ln) }()
	return g, nil
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.busy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.s.ServeHTTP(w, r)
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, specification any) {
	raw, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// setDown starts or ends an outage, in which all calls are reset and waiting watches are cut off.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.cond.Broadcast()
}

func (s *store) write(kind, name string, raw json.RawMessage) *object {
	key := kind + "/" + name
	o := s.objects[key]
	if o != nil && string(o.specification) == string(raw) {
		return o
	}
	s.revision++
	if o == nil {
		o = &object{kind: kind, name: name, created: s.revision}
		s.objects[key] = o
	}
	o.revision, o.specification = s.revision, raw
	s.history = append(s.history, change{o: *o})
	s.cond.Broadcast()
	return o
}

func (s *store) delete(kind, name string) {
	key := kind + "/" + name
	o := s.objects[key]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects, key)
	gone := *o
	gone.revision = s.revision
	s.history = append(s.history, change{o: gone, tombstone: true})
	s.cond.Broadcast()
}

func (o *object) json() string {
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":%d,"finalizers":[],"deleting":false},"specification":%s,"status":null}`,
		o.name, o.revision, o.created, o.specification)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", "0")
	w.Header().Set("Content-Type", "application/json")
	kind, name, single := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && single:
		o := s.objects[kind+"/"+name]
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.WriteString(w, o.json())
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, r, kind)
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		_, _ = io.WriteString(w, "{}")
	default:
		s.serveWrite(w, r, kind, name, body)
	}
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	var names []string
	for _, o := range s.objects {
		if o.kind == kind && o.name > r.URL.Query().Get("after") {
			names = append(names, o.name)
		}
	}
	sort.Strings(names)
	items := make([]string, 0, len(names))
	for _, n := range names {
		items = append(items, s.objects[kind+"/"+n].json())
	}
	_, _ = fmt.Fprintf(w, `{"items":[%s],"truncated":false,"storeRevision":%d}`, strings.Join(items, ","), s.revision)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	wake := time.AfterFunc(time.Until(end), s.cond.Broadcast)
	defer wake.Stop()
	for {
		var events []string
		for i := range s.history {
			c := &s.history[i]
			if c.o.kind == kind && c.o.revision > after {
				events = append(events, fmt.Sprintf(`{"tombstone":%t,"object":%s}`, c.tombstone, c.o.json()))
			}
		}
		if s.down {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			_, _ = fmt.Fprintf(w, `{"events":[%s],"storeRevision":%d}`, strings.Join(events, ","), s.revision)
			return
		}
		s.cond.Wait()
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var in struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Specification json.RawMessage `json:"specification"`
	}
	if json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	o := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && o != nil, o != nil && in.Metadata.Revision != 0 && in.Metadata.Revision != o.revision:
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, o.json())
	case r.Method == http.MethodPut && o == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = io.WriteString(w, s.write(kind, name, in.Specification).json())
	}
}
