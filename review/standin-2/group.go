package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineSize describes the engines of the group, as the configuration states it.
type engineSize struct {
	ranks, sets, experts, placements, spare int
	copyTime                                time.Duration
	passTime                                time.Duration
	slots, queue, events                    int
}

// rankState is the state of one rank. Its maps are the experts by set and rank.
type rankState struct {
	id       string
	lifetime int64
	sequence int64
	counts   []int64
	// version and active are the map in force; highest is the highest version that was prepared.
	version, highest int64
	active           [][][]int
	// prepared is the version whose copy ends at preparedAt; zero if there is none.
	prepared    int64
	preparedMap [][][]int
	preparedAt  time.Time
	// armed is the version to which the rank switches as armedStep begins; zero if none is.
	armed, armedStep int64
	armedMap         [][][]int
	// held is the pass that the rank holds, or -1.
	held     int64
	requests []*request
}

// request is one that a rank has taken.
type request struct {
	attempt, prefix string
	topic           int
	left, sent      int
	events          chan int
	done            <-chan struct{}
}

// group is a stand-in for a group of model servers that make each pass together.
type group struct {
	size engineSize
	rec  *recorder
	name string

	mu     sync.Mutex
	rng    *rand.Rand
	ranks  []*rankState
	step   int64
	epoch  int64
	orders int
	// late decides whether an order is left unanswered, and how long after its arrival it is carried out.
	late       func(rank int, operation string) (time.Duration, bool)
	lateOrders int
	// mixed describes the first pass that began while two ranks had different maps.
	mixed   string
	changes int
	// armedNow is called without the lock after an order was carried out.
	observed func(rank int, operation string, status int)
}

func newGroup(size engineSize, rec *recorder, seed uint64) *group {
	g := &group{size: size, rec: rec, name: "group-1", epoch: 1, rng: rand.New(rand.NewPCG(seed, 7))}
	first := make([][][]int, size.sets)
	for set := range first {
		first[set] = make([][]int, size.ranks)
		for e := range size.experts {
			first[set][e%size.ranks] = append(first[set][e%size.ranks], e)
		}
	}
	for rank := range size.ranks {
		g.ranks = append(g.ranks, &rankState{
			id: fmt.Sprintf("i-rank%d", rank), lifetime: time.Now().UnixMilli(), counts: make([]int64, size.sets*size.experts),
			active: first, held: -1,
		})
	}
	return g
}

// passes begins a pass after the other until stop is closed. An idle group makes none.
func (g *group) passes(stop <-chan struct{}) {
	ticker := time.NewTicker(g.size.passTime)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			g.pass()
		}
	}
}

func (g *group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	busy := false
	for _, r := range g.ranks {
		r.requests = slices.DeleteFunc(r.requests, func(q *request) bool {
			select {
			case <-q.done:
				return true
			default:
				return false
			}
		})
		busy = busy || len(r.requests) > 0
	}
	if !busy {
		return
	}
	for _, r := range g.ranks {
		if r.held == g.step+1 {
			return
		}
	}
	g.step++
	switched := false
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == g.step {
			r.version, r.active = r.armed, r.armedMap
			r.armed, r.prepared = 0, 0
			switched = true
		}
	}
	g.checkMaps(switched)
	for _, r := range g.ranks {
		for _, q := range r.requests[:min(len(r.requests), g.size.slots)] {
			g.choose(r, q)
			select {
			case q.events <- q.sent + 1:
				q.sent++
			default:
			}
		}
		r.requests = slices.DeleteFunc(r.requests, func(q *request) bool {
			if q.sent < q.left {
				return false
			}
			close(q.events)
			return true
		})
	}
}

// checkMaps compares the maps of all ranks as a pass begins.
func (g *group) checkMaps(switched bool) {
	var versions []string
	same := true
	for _, r := range g.ranks {
		versions = append(versions, strconv.FormatInt(r.version, 10))
		same = same && r.version == g.ranks[0].version && sameMap(r.active, g.ranks[0].active)
	}
	if switched {
		g.changes++
		g.rec.printf("pass %d begins; map versions by rank: %s", g.step, strings.Join(versions, " "))
	}
	if !same && g.mixed == "" {
		g.mixed = fmt.Sprintf("pass %d began with different maps; versions by rank: %s", g.step, strings.Join(versions, " "))
		g.rec.printf("BROKEN: MAP: %s", g.mixed)
	}
}

func sameMap(a, b [][][]int) bool {
	return slices.EqualFunc(a, b, func(x, y [][]int) bool { return slices.EqualFunc(x, y, slices.Equal[[]int]) })
}

// choose counts the experts that a pass chooses for a request. Which ones are preferred depends on its topic.
func (g *group) choose(r *rankState, q *request) {
	for set := range g.size.sets {
		for range 48 {
			u := g.rng.Float64()
			e := (int(u*u*u*float64(g.size.experts)) + q.topic*23 + set*5) % g.size.experts
			r.counts[set*g.size.experts+e]++
		}
	}
}

// state returns a rank's report.
func (g *group) state(rank int) map[string]any {
	r := g.ranks[rank]
	running := min(len(r.requests), g.size.slots)
	report := map[string]any{
		"stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false,
		"sequence": r.sequence, "queueDepth": len(r.requests) - running, "runningRequests": running, "kvCacheUsed": 1000 * running,
		"kvCacheTotal": 494000, "handles": 0, "pace": 1.0, "size": g.size.ranks, "step": g.step, "mapping": r.version, "born": r.lifetime,
		"group": map[string]any{"name": g.name, "epoch": g.epoch, "rank": rank, "state": "open"},
	}
	if r.prepared != 0 && !time.Now().Before(r.preparedAt) {
		report["prepared"] = r.prepared
	}
	if r.armed != 0 {
		report["armed"] = map[string]any{"version": r.armed, "step": r.armedStep}
	}
	if r.held >= 0 {
		report["held"] = r.held
	}
	return report
}

func rowsOf(version int64, m [][][]int, rank int) map[string]any {
	rows := make([][]int, len(m))
	for set := range m {
		rows[set] = m[set][rank]
	}
	return map[string]any{"version": version, "experts": rows}
}

// order is the body of an order to a rank.
type order struct {
	Operation string    `json:"operation"`
	Epoch     *int64    `json:"epoch"`
	Version   int64     `json:"version"`
	Step      *int64    `json:"step"`
	Mapping   [][][]int `json:"mapping"`
}

// carryOut carries out an order and returns the status of its answer.
func (g *group) carryOut(rank int, o *order, remark string) int {
	g.mu.Lock()
	status := g.apply(g.ranks[rank], rank, o)
	if status == http.StatusAccepted {
		g.ranks[rank].sequence++
	}
	step := int64(-1)
	if o.Step != nil {
		step = *o.Step
	}
	g.rec.printf("rank %d: %s version %d pass %d -> %d%s (last pass %d)", rank, o.Operation, o.Version, step, status, remark, g.step)
	observed := g.observed
	g.mu.Unlock()
	if observed != nil {
		observed(rank, o.Operation, status)
	}
	return status
}

func (g *group) apply(r *rankState, rank int, o *order) int {
	if o.Epoch != nil && *o.Epoch != g.epoch {
		return http.StatusConflict
	}
	switch o.Operation {
	case "prepare":
		return g.prepare(r, rank, o)
	case "arm":
		copied := r.prepared == o.Version && !time.Now().Before(r.preparedAt)
		switch {
		case o.Step == nil || *o.Step <= g.step || !copied:
			return http.StatusConflict
		case r.armed == o.Version && r.armedStep == *o.Step:
			return http.StatusOK
		}
		r.armed, r.armedStep, r.armedMap = o.Version, *o.Step, r.preparedMap
	case "disarm":
		switch {
		case r.version == o.Version:
			return http.StatusConflict
		case r.armed != o.Version:
			return http.StatusOK
		}
		r.armed = 0
	case "hold":
		switch {
		case o.Step == nil || *o.Step <= g.step || r.held >= 0 && r.held != *o.Step:
			return http.StatusConflict
		case r.held == *o.Step:
			return http.StatusOK
		}
		r.held = *o.Step
	case "go":
		if o.Step == nil || r.held != *o.Step {
			return http.StatusOK
		}
		r.held = -1
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

func (g *group) prepare(r *rankState, rank int, o *order) int {
	if o.Version <= r.highest || r.armed != 0 || len(o.Mapping) != g.size.sets {
		return http.StatusConflict
	}
	copies := 0
	for set := range o.Mapping {
		added := 0
		for _, e := range o.Mapping[set][rank] {
			if !slices.Contains(r.active[set][rank], e) {
				added++
			}
		}
		if added > g.size.spare || len(o.Mapping[set][rank]) > g.size.placements {
			return http.StatusConflict
		}
		copies += added
	}
	r.highest, r.prepared, r.preparedMap = o.Version, o.Version, o.Mapping
	r.preparedAt = time.Now().Add(time.Duration(copies) * g.size.copyTime)
	return http.StatusAccepted
}

// handler returns the HTTP interface of a rank.
func (g *group) handler(rank int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/report":
			g.mu.Lock()
			report := g.state(rank)
			g.mu.Unlock()
			answerJSON(w, http.StatusOK, report)
		case "/v1/picked":
			g.servePicked(w, r, rank)
		case "/v1/order":
			g.serveOrder(w, r, rank)
		case "/health":
			w.Header().Set("Instance-Identifier", g.ranks[rank].id)
			w.WriteHeader(http.StatusOK)
		default:
			g.serveStream(w, r, rank)
		}
	})
}

func (g *group) servePicked(w http.ResponseWriter, r *http.Request, rank int) {
	g.mu.Lock()
	s := g.ranks[rank]
	answer := map[string]any{"step": g.step, "epoch": g.epoch}
	if _, lists := r.URL.Query()["lists"]; lists {
		answer["mapping"] = rowsOf(s.version, s.active, rank)
		if s.prepared != 0 && !time.Now().Before(s.preparedAt) {
			answer["prepared"] = rowsOf(s.prepared, s.preparedMap, rank)
		}
	} else {
		answer["counts"] = slices.Clone(s.counts)
	}
	g.mu.Unlock()
	answerJSON(w, http.StatusOK, answer)
}

func (g *group) serveOrder(w http.ResponseWriter, r *http.Request, rank int) {
	var o order
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	g.orders++
	var delay time.Duration
	late := false
	if g.late != nil {
		if delay, late = g.late(rank, o.Operation); late {
			g.lateOrders++
		}
	}
	g.mu.Unlock()
	if late {
		g.rec.printf("rank %d: %s version %d gets no answer and is carried out %.1f s later", rank, o.Operation, o.Version, delay.Seconds())
		time.AfterFunc(delay, func() { g.carryOut(rank, &o, ", late") })
		<-r.Context().Done()
		return
	}
	w.WriteHeader(g.carryOut(rank, &o, ""))
}

// serveStream runs a request and sends its events.
func (g *group) serveStream(w http.ResponseWriter, r *http.Request, rank int) {
	s := g.ranks[rank]
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Identifier", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	topic, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("X-Topic")))
	q := &request{attempt: attempt, topic: topic, left: g.size.events, events: make(chan int, 64), done: r.Context().Done()}
	g.mu.Lock()
	running := len(s.requests)
	full := running >= g.size.slots+g.size.queue
	if !full {
		s.requests = append(s.requests, q)
	}
	g.mu.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(running, g.size.slots), max(0, running-g.size.slots), g.size.slots))
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.rec.printf("rank %d takes request %s", rank, attempt)
	begun := false
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for {
		select {
		case <-r.Context().Done():
			g.rec.printf("rank %d drops request %s: its connection was closed", rank, attempt)
			return
		case n, more := <-q.events:
			if !begun {
				begun = true
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Response-Signature", "sig."+attempt)
				w.Header().Set("Weight-Versions", "1")
				w.WriteHeader(http.StatusOK)
			}
			if !more || n+first > q.left {
				g.rec.printf("rank %d has run request %s", rank, attempt)
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+first, strings.Repeat("x", 24))
			_ = http.NewResponseController(w).Flush()
		}
	}
}
