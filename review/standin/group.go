package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	groupName   = "g0-0"
	groupSlots  = 12
	expertMb    = 1700.0
	linkMbps    = 92000.0
	passTime    = 15 * time.Millisecond
	eventStride = 2 // passes of one event
	groupEvents = 20
	// shiftTime is the time after which another expert is in demand.
	shiftTime = 3 * time.Second
)

// shape is the size of a group. hot is the share of its choices that go to the expert that is in
// demand.
type shape struct {
	ranks, sets, experts, places, spare int
	hot                                 float64
}

// talaanShape is the size of the groups of talaan.
var talaanShape = shape{ranks: 8, sets: 6, experts: 64, places: 11, spare: 4, hot: 0.15}

// group is a group of model servers that execute each pass together: PROTOCOL.md, "Requests".
type group struct {
	w     *world
	start time.Time
	shape

	mu    sync.Mutex
	cond  *sync.Cond
	epoch int64
	step  int64
	all   []*rank
	mixed int
	// lastPass is the time of the last pass.
	lastPass time.Time
	// onHold is called after a rank has acknowledged a hold.
	onHold func(rank int)
	// late, if set, leaves orders unanswered and carries them out late.
	late *lateOrders
}

// rank is one server of the group.
type rank struct {
	g                 *group
	index             int
	id, addr, zone    string
	running           int
	sequence          int64
	mapping, prepared rankMap
	// whole and preparedWhole are the same maps with the experts of all ranks.
	whole, preparedWhole [][][]uint16
	highest              int64
	armed                *armedMap
	held                 *int64
	counts               []int64
}

type rankMap struct {
	Version int64      `json:"version"`
	Experts [][]uint16 `json:"experts"`
}

type armedMap struct {
	Version int64 `json:"version"`
	Step    int64 `json:"step"`
}

func newGroup(w *world, sh shape) (*group, error) {
	g := &group{w: w, start: time.Now(), shape: sh, epoch: 1}
	g.cond = sync.NewCond(&g.mu)
	for i := range sh.ranks {
		r := &rank{g: g, index: i, id: "i-rank" + strconv.Itoa(i), addr: w.address(w.host(), "app"), zone: "pasig", counts: make([]int64, sh.sets*sh.experts)}
		for range sh.sets { // map 0 assigns experts in turn
			var row []uint16
			for e := i; e < sh.experts; e += sh.ranks {
				row = append(row, uint16(e))
			}
			r.mapping.Experts = append(r.mapping.Experts, row)
		}
		ln, err := net.Listen("tcp4", r.addr)
		if err != nil {
			return nil, err
		}
		g.all = append(g.all, r)
		w.store.put("servers", r.id, map[string]any{
			"service": "drafting-models", "address": r.addr, "zone": r.zone, "version": "v1", "concurrencySlots": groupSlots,
			"state": "ready", "coldRemainingMs": 0, "stage": "combined", "sequence": 1, "born": time.Now().UnixMilli(),
		})
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go r.handle(conn)
			}
		}()
	}
	for _, r := range g.all {
		r.whole = make([][][]uint16, sh.sets)
		for set := range r.whole {
			for _, o := range g.all {
				r.whole[set] = append(r.whole[set], o.mapping.Experts[set])
			}
		}
	}
	go g.run()
	return g, nil
}

// run executes the passes. An idle group makes none, and a held pass is not begun.
func (g *group) run() {
	for range time.Tick(passTime) {
		g.mu.Lock()
		if g.mayBegin(g.step + 1) {
			g.begin(g.step + 1)
		}
		g.mu.Unlock()
	}
}

func (g *group) lateOrders() *lateOrders {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.late
}

func (g *group) mayBegin(step int64) bool {
	busy := false
	for _, r := range g.all {
		busy = busy || r.running > 0
		if r.held != nil && *r.held == step {
			return false
		}
	}
	return busy
}

func (g *group) begin(step int64) {
	g.step, g.lastPass = step, time.Now()
	for _, r := range g.all {
		if r.armed != nil && r.armed.Step == step {
			r.mapping, r.whole, r.armed, r.prepared = r.prepared, r.preparedWhole, nil, rankMap{}
			g.w.logf("rank %d uses map %d from pass %d", r.index, r.mapping.Version, step)
		}
		r.count()
	}
	for _, r := range g.all {
		first := g.all[0]
		if r.mapping.Version != first.mapping.Version || !reflect.DeepEqual(r.whole, first.whole) {
			if g.mixed++; g.mixed <= 3 {
				g.w.logf("pass %d begins while rank 0 has map %d %v and rank %d has map %d %v", step, first.mapping.Version, first.whole, r.index, r.mapping.Version, r.whole)
			}
		}
	}
	g.cond.Broadcast()
}

// count adds the experts that the rank's requests have chosen in a pass. In each set one expert is
// in demand; each shiftTime, that is another one in one of the sets.
func (r *rank) count() {
	shifts := int(time.Since(r.g.start) / shiftTime)
	for range 20 * r.running {
		for set := range r.g.sets {
			e := ((shifts+set)/r.g.sets + 3*set) % r.g.experts
			if rand.Float64() >= r.g.hot {
				e = rand.IntN(r.g.experts)
			}
			r.counts[set*r.g.experts+e]++
		}
	}
}

func (r *rank) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		switch q.URL.Path {
		case "/v1/report":
			r.reply(conn, 200, r.report())
		case "/v1/picked":
			r.reply(conn, 200, r.picked(q.URL.Query().Has("lists")))
		case "/v1/order":
			if r.g.lateOrders().leaves(r, body) {
				_, _ = io.Copy(io.Discard, conn) // no answer
				return
			}
			status, rankHeld := r.order(body)
			r.reply(conn, status, map[string]any{})
			if rankHeld && r.g.onHold != nil {
				r.g.onHold(r.index)
			}
		default:
			r.serve(conn, q)
			return
		}
	}
}

func (r *rank) reply(conn net.Conn, status int, v any) {
	b, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(b), b)
}

func (r *rank) report() map[string]any {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	v := map[string]any{
		"stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": r.sequence,
		"queueDepth": 0, "runningRequests": r.running, "kvCacheUsed": 0, "kvCacheTotal": 494000, "handles": 0, "pace": 1,
		"group": map[string]any{"name": groupName, "epoch": r.g.epoch, "rank": r.index, "state": "open"}, "size": len(r.g.all),
		"step": r.g.step, "mapping": r.mapping.Version,
	}
	if r.prepared.Version != 0 {
		v["prepared"] = r.prepared.Version
	}
	if r.armed != nil {
		v["armed"] = *r.armed
	}
	if r.held != nil {
		v["held"] = *r.held
	}
	return v
}

func (r *rank) picked(lists bool) map[string]any {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	if !lists {
		return map[string]any{"step": r.g.step, "epoch": r.g.epoch, "counts": append([]int64(nil), r.counts...)}
	}
	v := map[string]any{"mapping": r.mapping}
	if r.prepared.Version != 0 {
		v["prepared"] = r.prepared
	}
	return v
}

// orderBody is the body of an order.
type orderBody struct {
	Operation string       `json:"operation"`
	Epoch     *int64       `json:"epoch"`
	Version   int64        `json:"version"`
	Step      int64        `json:"step"`
	Mapping   [][][]uint16 `json:"mapping"`
}

// order carries out an order and returns the status of the answer, and whether the rank holds a pass
// since then.
func (r *rank) order(body []byte) (status int, held bool) {
	var o orderBody
	if json.Unmarshal(body, &o) != nil {
		return 400, false
	}
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.late.before(r, &o)
	return r.carryOut(&o)
}

func (r *rank) carryOut(o *orderBody) (status int, held bool) {
	status = 409
	switch begun := o.Step <= r.g.step; {
	case o.Epoch != nil && *o.Epoch != r.g.epoch:
	case o.Operation == "prepare" && o.Version > r.highest && r.armed == nil && r.newExperts(o.Mapping) <= r.g.spare:
		r.prepare(o.Version, o.Mapping)
		status = 202
	case o.Operation == "hold" && !begun && (r.held == nil || *r.held == o.Step):
		held, r.held, status = r.held == nil, &o.Step, 200
	case o.Operation == "go":
		if r.held != nil && *r.held == o.Step {
			r.held = nil
		}
		status = 200
	case o.Operation == "arm" && !begun && r.prepared.Version == o.Version && o.Version != 0:
		r.armed, status = &armedMap{Version: o.Version, Step: o.Step}, 200
	case o.Operation == "disarm" && r.mapping.Version != o.Version:
		if r.armed != nil && r.armed.Version == o.Version {
			r.armed = nil
		}
		status = 200
	}
	if status < 300 {
		r.sequence++
	}
	r.g.w.logf("rank %d: order %s, version %d, step %d (last begun %d): %d", r.index, o.Operation, o.Version, o.Step, r.g.step, status)
	return status, held
}

// rows returns a rank's experts by set in a map.
func (r *rank) rows(mapping [][][]uint16) (rows [][]uint16) {
	for _, set := range mapping {
		if r.index >= len(set) {
			return nil
		}
		rows = append(rows, set[r.index])
	}
	return rows
}

// newExperts returns the largest number of experts of a set that are new to the rank.
func (r *rank) newExperts(mapping [][][]uint16) (most int) {
	for set, row := range r.rows(mapping) {
		n := 0
		for _, e := range row {
			n++
			for _, has := range r.mapping.Experts[set] {
				if has == e {
					n--
				}
			}
		}
		most = max(most, n)
	}
	return most
}

// prepare copies the experts of a version; it shows as prepared once the copy is complete.
func (r *rank) prepare(version int64, mapping [][][]uint16) {
	r.highest, r.prepared = version, rankMap{}
	copyTime := time.Duration(float64(r.newExperts(mapping)) * expertMb * 8 / linkMbps * float64(time.Second))
	time.AfterFunc(copyTime, func() {
		r.g.mu.Lock()
		defer r.g.mu.Unlock()
		if r.highest == version {
			r.prepared, r.preparedWhole = rankMap{Version: version, Experts: r.rows(mapping)}, mapping
		}
	})
}

// serve runs a streaming request: an event each eventStride passes.
func (r *rank) serve(conn net.Conn, q *http.Request) {
	g, attempt := r.g, q.Header.Get("Attempt-Id")
	refuse := func(status int, fields string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), attempt, fields)
	}
	if want := q.Header.Get("Expected-Instance"); want != "" && want != r.id {
		refuse(421, "Instance-Identifier: "+r.id+"\r\n")
		return
	}
	g.mu.Lock()
	if r.running >= groupSlots {
		g.mu.Unlock()
		refuse(503, "Not-Executed: 1\r\n")
		return
	}
	r.running++
	g.mu.Unlock()
	gone := make(chan struct{})
	go func() { // the server drops a request whose connection closes
		_, _ = io.Copy(io.Discard, conn)
		close(gone)
		g.cond.Broadcast()
	}()
	defer func() {
		g.mu.Lock()
		r.running--
		g.mu.Unlock()
	}()
	last := 0
	if text := q.Header.Get("Last-Event-Id"); text != "" {
		last, _ = strconv.Atoi(text)
	}
	for n := last + 1; n <= groupEvents; n++ {
		if !g.awaitPasses(gone) {
			return
		}
		var b strings.Builder
		if n == last+1 {
			b.WriteString("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: r." + attempt +
				"\r\nContent-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
		}
		event := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, attempt)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
		if n == groupEvents {
			b.WriteString("0\r\n\r\n")
		}
		if _, err := io.WriteString(conn, b.String()); err != nil {
			return
		}
	}
}

// awaitPasses waits for eventStride passes and returns false if the request's connection closes.
func (g *group) awaitPasses(gone chan struct{}) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for until := g.step + eventStride; g.step < until; g.cond.Wait() {
		select {
		case <-gone:
			return false
		default:
		}
	}
	return true
}
