package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the platform's store.
type object struct {
	Kind          string
	Name          string
	Revision      int64
	Created       int64
	Specification json.RawMessage
	Status        json.RawMessage
}

func (o *object) wire() map[string]any {
	status := o.Status
	if status == nil {
		status = json.RawMessage("null")
	}
	return map[string]any{
		"metadata":      map[string]any{"name": o.Name, "revision": o.Revision, "created": o.Created, "finalizers": []string{}, "deleting": false},
		"specification": o.Specification, "status": status,
	}
}

// storeEvent is one change in the store's history.
type storeEvent struct {
	kind      string
	revision  int64
	object    map[string]any
	tombstone bool
}

// store is a stand-in for the platform's store: objects by kind and name, with lists, watches and
// conditional writes.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	objects  map[string]map[string]*object
	revision int64
	history  []storeEvent
}

func newStore() *store {
	return &store{objects: map[string]map[string]*object{}, revision: 100, changed: make(chan struct{})}
}

// put writes an object as an operator or a server does and returns the store's revision.
func (s *store) put(kind, name string, specification any) int64 {
	raw, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, raw).Revision
}

// write replaces or creates an object; s.mu must be held.
func (s *store) write(kind, name string, raw json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.Specification) == string(raw) {
		return o
	}
	s.revision++
	if o == nil {
		o = &object{Kind: kind, Name: name, Created: s.revision}
		s.objects[kind][name] = o
	}
	o.Specification, o.Revision = raw, s.revision
	s.record(kind, o.wire(), false)
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(kind, o.wire(), true)
	return true
}

func (s *store) record(kind string, wire map[string]any, tombstone bool) {
	s.history = append(s.history, storeEvent{kind: kind, revision: s.revision, object: wire, tombstone: tombstone})
	close(s.changed)
	s.changed = make(chan struct{})
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodDelete:
		if !s.remove(kind, name) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answerJSON(w, http.StatusOK, map[string]any{})
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.change(w, r, kind, name, isStatus)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Specification json.RawMessage `json:"specification"`
		Status        json.RawMessage `json:"status"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && o != nil, o != nil && body.Metadata.Revision != 0 && body.Metadata.Revision != o.Revision:
		answerJSON(w, http.StatusConflict, o.wire())
	case r.Method == http.MethodPut && o == nil:
		w.WriteHeader(http.StatusNotFound)
	case isStatus:
		o.Status = body.Status
		s.revision++
		o.Revision = s.revision
		s.record(kind, o.wire(), false)
		answerJSON(w, http.StatusOK, o.wire())
	default:
		answerJSON(w, http.StatusOK, s.write(kind, name, body.Specification).wire())
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, http.StatusOK, o.wire())
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []any{}
	for _, name := range names {
		items = append(items, s.objects[kind][name].wire())
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []any{}
		for _, e := range s.history {
			if e.revision > from && e.kind == kind {
				events = append(events, map[string]any{"object": e.object, "tombstone": e.tombstone})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}
