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
	w    *world
	stop atomic.Bool
	// sent maps the id of each request to the time at which its client began to send it.
	sent                   sync.Map
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
			l.sent.Store(id, time.Now())
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

	load *load

	coldMu   sync.Mutex
	started  time.Time
	arrivals []arrival
}

// arrival is a request that the server runs, with the time at which its client began to send it.
type arrival struct{ sent, at time.Time }

// crashRate is the number of requests in a second above which a cold server crashes: "well above" coldPerS.
const crashRate = 2 * coldPerS

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
		sent, _ := s.load.sent.Load(id)
		s.arrivals = append(s.arrivals, arrival{sent: sent.(time.Time), at: now})
		n := 0
		for n < len(s.arrivals) && now.Sub(s.arrivals[len(s.arrivals)-1-n].at) < time.Second {
			n++
		}
		if n == crashRate+1 {
			s.w.note("server %s is cold, gets its request number %d in a second and crashes", s.id, n)
			go s.crash()
		}
	})
}

// most returns the largest number of requests that were sent and arrived inside one second, and when that begins.
func (s *coldServer) most() (most int, from time.Time) {
	for _, first := range s.arrivals {
		n := 0
		for _, a := range s.arrivals {
			if !a.sent.Before(first.sent) && a.at.Sub(first.sent) < time.Second {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}

// broken reports whether the server got more than the bound in a second, and notes what it got.
func (s *coldServer) broken() (bool, error) {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	most, from := s.most()
	s.w.note("server %s: %d requests while it was cold, %d of them sent and arrived in the second from %v after its start on; the bound is %.0f",
		s.id, len(s.arrivals), most, from.Sub(s.started).Round(time.Millisecond), float64(coldBound))
	if len(s.arrivals) == 0 {
		return false, fmt.Errorf("server %s got no request", s.id)
	}
	return float64(most) > coldBound, nil
}
