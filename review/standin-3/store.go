package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is an object of the platform's store.
type storeObject struct {
	kind, name        string
	revision, created int64
	specification     json.RawMessage
}

func (o *storeObject) encode(specification json.RawMessage) string {
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":%d},"specification":%s}`, o.name, o.revision, o.created, specification)
}

type storeChange struct {
	object  storeObject
	removed bool
}

// store is the platform's store: a sound one that keeps its whole history.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision int64
	objects  map[string]storeObject
	history  []storeChange
}

func newStore() *store {
	s := &store{revision: 1, objects: map[string]storeObject{}}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// storeView is one address of the store. shown, if set, replaces the specification that is shown there.
type storeView struct {
	*store
	shown func(o *storeObject) json.RawMessage
}

// listen serves the store at a free loopback port and returns its address.
func (s *store) listen(shown func(o *storeObject) json.RawMessage) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	if shown == nil {
		shown = func(o *storeObject) json.RawMessage { return o.specification }
	}
	go func() { _ = http.Serve(ln, &storeView{store: s, shown: shown}) }() // until the process ends
	return ln.Addr().String(), nil
}

// put writes an object as the operator or a server does; nil removes it.
func (s *store) put(kind, name string, specification any) {
	raw, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw, specification == nil)
}

func (s *store) write(kind, name string, raw json.RawMessage, remove bool) storeObject {
	s.revision++
	key := kind + "/" + name
	o, known := s.objects[key]
	if !known {
		o = storeObject{kind: kind, name: name, created: s.revision}
	}
	o.revision = s.revision
	if remove {
		delete(s.objects, key)
	} else {
		o.specification = raw
		s.objects[key] = o
	}
	s.history = append(s.history, storeChange{object: o, removed: remove})
	s.changed.Broadcast()
	return o
}

func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, single := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	v.mu.Lock()
	defer v.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	switch {
	case r.Method == http.MethodGet && single:
		v.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		v.watch(w, r, kind)
	case r.Method == http.MethodGet:
		v.list(w, kind)
	case r.Method == http.MethodDelete:
		v.remove(w, kind, name)
	default:
		v.change(w, r, kind, name)
	}
}

func (v *storeView) get(w http.ResponseWriter, kind, name string) {
	o, ok := v.objects[kind+"/"+name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	fmt.Fprint(w, o.encode(v.shown(&o)))
}

func (v *storeView) list(w http.ResponseWriter, kind string) {
	var items []string
	for _, key := range slices.Sorted(maps.Keys(v.objects)) {
		if o := v.objects[key]; o.kind == kind {
			items = append(items, o.encode(v.shown(&o)))
		}
	}
	fmt.Fprintf(w, `{"items":[%s],"truncated":false,"storeRevision":%d}`, strings.Join(items, ","), v.revision)
}

func (v *storeView) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), v.changed.Broadcast)
	defer timer.Stop()
	if after > v.revision {
		w.WriteHeader(http.StatusGone)
		return
	}
	for {
		var events []string
		for i := range v.history {
			if c := &v.history[i]; c.object.kind == kind && c.object.revision > after {
				events = append(events, fmt.Sprintf(`{"tombstone":%t,"object":%s}`, c.removed, c.object.encode(v.shown(&c.object))))
			}
		}
		if len(events) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			fmt.Fprintf(w, `{"events":[%s],"storeRevision":%d}`, strings.Join(events, ","), v.revision)
			return
		}
		v.changed.Wait()
	}
}

func (v *storeView) remove(w http.ResponseWriter, kind, name string) {
	if _, ok := v.objects[kind+"/"+name]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	v.write(kind, name, nil, true)
	fmt.Fprint(w, `{}`)
}

func (v *storeView) change(w http.ResponseWriter, r *http.Request, kind, name string) {
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
	old, known := v.objects[kind+"/"+name]
	switch {
	case known && r.Method == http.MethodPost, known && body.Metadata.Revision != 0 && body.Metadata.Revision != old.revision:
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, old.encode(v.shown(&old)))
		return
	case !known && r.Method == http.MethodPut:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	o := v.write(kind, name, body.Specification, false)
	fmt.Fprint(w, o.encode(o.specification))
}
