package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// coldBound is coldPerS x coldOvershoot + coldSlack of talaan: 38 x 1.5 + 5.
	coldPerS, coldBound = 38, 62
	// crashRate is the number of requests in a second at which a cold server crashes.
	crashRate = 2 * coldPerS
	// cutTime is the longest node_cut of the site file.
	cutTime = 12 * time.Second
	// startAfter is the time from the beginning of the cut to the start of the server.
	startAfter = 10200 * time.Millisecond
	// cutCallers callers a gateway send a request each cutInterval, 200 a second in all.
	cutInterval = 15 * time.Millisecond
)

func init() { cases["cut-gateway"] = cutGateway }

// cutGateway has a server start while one gateway of three is cut off from the other two. The rule FAILBACK is checked
// for the server, which is cold.
func cutGateway(s *scene) (bool, error) {
	st := newStore(s.record)
	st.put("config", "main", coldConfig())
	var all arrivals
	warm, err := startServer("i-warm", 15*time.Millisecond, &all)
	if err != nil {
		return false, err
	}
	defer warm.stop()
	st.put("servers", "i-warm", warm.entry("records", "z1"))

	links := newLinks()
	defer links.close()
	st.rewrite = links.rewrite
	names := []string{"edge-1", "edge-2", "edge-3"}
	var gateways []*process
	for _, name := range names {
		address, err := st.listen(name)
		if err != nil {
			return false, err
		}
		p, err := startGateway(s.root, s.dir, name, "z1", address)
		if err != nil {
			return false, err
		}
		s.processes = append(s.processes, p)
		gateways = append(gateways, p)
		if err := links.add(name, p.peer); err != nil {
			return false, err
		}
		if err := p.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	var sent sync.Map
	var lost atomic.Int64
	done := make(chan struct{})
	var wg sync.WaitGroup
	var crowds []*clients
	for i, p := range gateways {
		method := http.MethodGet
		if i > 0 {
			method = http.MethodPost
		}
		c := newClients(p, method, "records.example", map[string]string{http.MethodGet: "/lookup/1", http.MethodPost: "/correct/1"}[method], s.record)
		c.quiet = true
		c.onSend = func(id string, at time.Time) { sent.Store(id, at) }
		c.onEnd = func(_ string, status int) {
			if status == 0 || status == http.StatusBadGateway {
				lost.Add(1)
			}
		}
		crowds = append(crowds, c)
		wg.Add(1)
		go c.run(cutInterval, done, &wg)
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		links.cut.Store(true)
		time.AfterFunc(cutTime, func() { links.cut.Store(false) })
		s.record.linef("edge-1 is cut off from edge-2 and edge-3 for %v; it reaches the store, the servers and its clients", cutTime)
	}
	time.Sleep(startAfter)

	cold, err := startServer("i-cold", 15*time.Millisecond, &all)
	if err != nil {
		return false, err
	}
	defer cold.stop()
	cold.crashAt = crashRate
	entry := cold.entry("records", "z1")
	entry["coldRemainingMs"] = 3000
	before := lost.Load()
	st.put("servers", "i-cold", entry)
	s.record.linef("i-cold has started and is cold for 3 s")
	time.Sleep(1600 * time.Millisecond)
	entry["coldRemainingMs"] = 1400
	st.put("servers", "i-cold", entry)
	time.Sleep(1300 * time.Millisecond)
	close(done)
	wg.Wait()

	type visit struct{ sent, arrived time.Time }
	var visits []visit
	by := map[string]int{}
	for _, a := range all.list() {
		if a.server != "i-cold" || !a.run {
			continue
		}
		at, _ := sent.Load(a.attempt)
		visits = append(visits, visit{at.(time.Time), a.at})
		by[a.attempt[:6]]++
		s.record.linef("request %s, sent at %.3f s, reached i-cold at %.3f s", a.attempt, s.record.at(at.(time.Time)), s.record.at(a.at))
	}
	sort.Slice(visits, func(i, j int) bool { return visits[i].sent.Before(visits[j].sent) })
	most := 0
	for _, first := range visits {
		n := 0
		for _, v := range visits {
			if !v.sent.Before(first.sent) && v.arrived.Sub(first.sent) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	for _, c := range crowds {
		s.record.linef("%s %s: answers by status %s", c.gateway.name, c.method, c.summary())
	}
	s.record.linef("requests that reached i-cold: %v; most that were sent and arrived inside one second: %d of %d; crashed: %t; requests that ended with 502 or without an answer since its start: %d",
		by, most, coldBound, cold.crashed.Load(), lost.Load()-before)
	if len(visits) == 0 {
		return false, fmt.Errorf("no request reached i-cold")
	}
	return most > coldBound, nil
}

// links passes the datagrams between gateways, whose addresses the store shows as those of the links.
type links struct {
	cut atomic.Bool

	mu    sync.Mutex
	peers map[string]string
	// sockets contains, by the names of two gateways, the socket at which the first reaches the second.
	sockets map[[2]string]*net.UDPConn
}

func newLinks() *links {
	return &links{peers: map[string]string{}, sockets: map[[2]string]*net.UDPConn{}}
}

// add adds a gateway, with links to those that were added before.
func (l *links) add(name, address string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other := range l.peers {
		for _, pair := range [][2]string{{name, other}, {other, name}} {
			conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				return err
			}
			l.sockets[pair] = conn
		}
		go l.forward([2]string{name, other}, other, l.peers[other])
		go l.forward([2]string{other, name}, name, address)
	}
	l.peers[name] = address
	return nil
}

// forward passes what arrives at the socket of a pair on to the second gateway, which sees it come from the socket at
// which it reaches the first.
func (l *links) forward(pair [2]string, to, address string) {
	l.mu.Lock()
	in, out := l.sockets[pair], l.sockets[[2]string{pair[1], pair[0]}]
	l.mu.Unlock()
	target, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		panic(err)
	}
	buf := make([]byte, 64<<10)
	for {
		n, _, err := in.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if l.cut.Load() && (pair[0] == "edge-1" || to == "edge-1") {
			continue
		}
		_, _ = out.WriteToUDP(buf[:n], target)
	}
}

// rewrite returns the specification of an object as the store shows it to a machine: the address of another gateway is
// that of the link to it.
func (l *links) rewrite(machine string, o *object) json.RawMessage {
	if o.kind != "gentiantrail-gateways" {
		return o.specification
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn := l.sockets[[2]string{machine, o.name}]; conn != nil {
		return json.RawMessage(fmt.Sprintf(`{"peerAddress":%q}`, conn.LocalAddr()))
	}
	return o.specification
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.sockets {
		_ = conn.Close()
	}
}

// coldConfig returns a configuration with one plain service whose servers start cold.
func coldConfig() map[string]any {
	c := smallConfig()
	c["services"].([]map[string]any)[0]["coldStartS"] = 3.0
	c["services"].([]map[string]any)[0]["coldPerS"] = float64(coldPerS)
	c["services"].([]map[string]any)[0]["connectionLimit"] = 328
	return c
}
