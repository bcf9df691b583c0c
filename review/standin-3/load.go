package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// 20 clients of each gateway send up to 80 requests a second together.
const (
	clientsPerGateway = 20
	clientPause       = 250 * time.Millisecond
)

// load is the traffic of permits, which may run once at most, through some gateways.
type load struct {
	w                      *world
	stop                   atomic.Bool
	clients                sync.WaitGroup
	served, refused, other atomic.Int64
}

func (w *world) startLoad(gateways []*gateway) *load {
	l := &load{w: w}
	for k := range len(gateways) * clientsPerGateway {
		l.clients.Go(func() { l.run(k, gateways[k%len(gateways)].front) })
	}
	return l
}

// run is one client, which keeps its connection.
func (l *load) run(k int, front string) {
	time.Sleep(time.Duration(k) * clientPause / 60)
	for n := 0; !l.stop.Load(); n++ {
		c, err := net.Dial("tcp4", front)
		if err != nil {
			l.other.Add(1)
			time.Sleep(clientPause)
			continue
		}
		br := bufio.NewReader(c)
		for whole := true; whole && !l.stop.Load(); n++ {
			var head []byte
			id, sent := fmt.Sprintf("c%02d-%05d", k, n), time.Since(l.w.begun)
			head, whole = call(c, br, id, "/permit-issue/2f")
			line, _, _ := strings.Cut(string(head), "\r\n")
			l.w.note("client: %s sent at %.3f, got %q", id, sent.Seconds(), line)
			switch {
			case whole && strings.HasPrefix(string(head), "HTTP/1.1 200"):
				l.served.Add(1)
			case whole && strings.HasPrefix(string(head), "HTTP/1.1 503"):
				l.refused.Add(1)
			default:
				l.other.Add(1)
			}
			time.Sleep(clientPause)
		}
		_ = c.Close()
	}
}

func (l *load) end() {
	l.stop.Store(true)
	l.clients.Wait()
}

// String returns the numbers of answers.
func (l *load) String() string {
	return fmt.Sprintf("answers to clients: %d of servers, %d refusals, %d other", l.served.Load(), l.refused.Load(), l.other.Load())
}

// coldServer is what a server that is cold gets. It crashes if it gets more than it bears.
type coldServer struct {
	*plainServer

	coldMu   sync.Mutex
	started  time.Time
	arrivals []time.Time
	// most is the largest number of arrivals within a second, the first of them at mostFrom.
	most     int
	mostFrom time.Time
}

// watch records the requests that the server runs while it is cold, from now on.
func (s *coldServer) watch() {
	s.started = time.Now()
	s.setArrivalFunc(func(id string) {
		now := time.Now()
		if now.Sub(s.started) > coldTime {
			return
		}
		s.coldMu.Lock()
		defer s.coldMu.Unlock()
		s.arrivals = append(s.arrivals, now)
		n := 0
		for n < len(s.arrivals) && now.Sub(s.arrivals[len(s.arrivals)-1-n]) < time.Second {
			n++
		}
		if n > s.most {
			s.most, s.mostFrom = n, s.arrivals[len(s.arrivals)-n]
		}
		if float64(n) > coldBound && float64(n-1) <= coldBound {
			s.w.note("server %s is cold, gets its request number %d in a second and crashes", s.id, n)
			go s.crash()
		}
	})
}

// broken reports whether the server got more than the bound in a second, and notes what it got.
func (s *coldServer) broken() (bool, error) {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	s.w.note("server %s: %d requests while it was cold, %d of them in the second from %v after its start on; the bound is %.0f",
		s.id, len(s.arrivals), s.most, s.mostFrom.Sub(s.started).Round(time.Millisecond), float64(coldBound))
	if len(s.arrivals) == 0 {
		return false, fmt.Errorf("server %s got no request", s.id)
	}
	return float64(s.most) > coldBound, nil
}
