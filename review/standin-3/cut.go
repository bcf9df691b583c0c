package main

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link carries the datagrams between two gateways. Each of them knows the other by an address of the link, as the
// store shows it to that gateway. While it is cut, it drops everything.
type link struct {
	// ends[0] is where the second gateway reaches the first, and ends[1] where the first reaches the second.
	ends [2]*net.UDPConn
	cut  atomic.Bool
}

func newLink(first, second string) (*link, error) {
	l := &link{}
	for i := range l.ends {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		l.ends[i] = c
	}
	for i, to := range []string{first, second} {
		addr, err := net.ResolveUDPAddr("udp4", to)
		if err != nil {
			return nil, err
		}
		go l.carry(l.ends[i], l.ends[1-i], addr)
	}
	return l, nil
}

// carry passes on what arrives at in to a gateway; the gateway sees it come from out, the address of the sender.
func (l *link) carry(in, out *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := in.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if !l.cut.Load() {
			_, _ = out.WriteToUDP(buf[:n], to)
		}
	}
}

func (l *link) addr(end int) string { return l.ends[end].LocalAddr().String() }

func setCut(links []*link, cut bool) {
	for _, l := range links {
		l.cut.Store(cut)
	}
}

const (
	// cutTime is the longest node_cut of the site file.
	cutTime = 12 * time.Second
	// coldPerS is cold_per_s of the service notice-drafter in the site file, and coldTime its cold_s. The bound is
	// coldPerS x coldOvershoot + coldSlack.
	coldPerS  = 28
	coldTime  = 3 * time.Second
	coldBound = coldPerS*1.5 + 5
	// startsAfter is when a new server starts, as the time since the beginning of the cut.
	startsAfter = 10200 * time.Millisecond
)

// cutGateways plays rule FAILBACK: a server starts while one gateway of three is cut off from the others.
func cutGateways(w *world) (bool, error) {
	names := []string{"edge-sk-a-1", "edge-sk-b-1", "edge-sk-c-1"}
	zones := []string{"sk-a", "sk-b", "sk-c"}
	// The store shows the first gateway the addresses of the links to the others, and the others that of theirs to the
	// first. shown maps the reader and the gateway to the address; a gateway without a link yet has none.
	var shown sync.Map
	w.store.put("config", "main", deskConfig(coldPerS))
	first, err := w.startPlainServer("desk-0", 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	w.store.put("servers", first.id, first.entry("sk-a", 0))
	var gateways []*gateway
	var links []*link
	for i := range names {
		view, err := w.store.listen(func(o *storeObject) json.RawMessage {
			addr, ok := shown.Load(names[i] + " " + o.name)
			if o.kind != "gentiantrail-gateways" || !ok {
				return o.specification
			}
			raw, _ := json.Marshal(map[string]any{"peerAddress": addr})
			return raw
		})
		if err != nil {
			return false, err
		}
		if i > 0 {
			// The gateway that starts later finds the earlier ones in the store. Its own address is free before.
			port, err := freePorts("127.0.0.1", 1)
			if err != nil {
				return false, err
			}
			l, err := newLink(gateways[0].peer, fmt.Sprintf("127.0.0.1:%d", port[0]))
			if err != nil {
				return false, err
			}
			links = append(links, l)
			shown.Store(names[i]+" "+names[0], l.addr(0))
			shown.Store(names[0]+" "+names[i], l.addr(1))
			w.peerPort = port[0]
		}
		g, err := w.startGateway(names[i], zones[i], view)
		if err != nil {
			return false, err
		}
		gateways = append(gateways, g)
		if err := g.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)

	load := w.startLoad(gateways)
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.note("%s is cut off from the other gateways for %v", names[0], cutTime)
		setCut(links, true)
		time.AfterFunc(cutTime, func() {
			setCut(links, false)
			w.note("the cut has ended")
		})
	}
	time.Sleep(startsAfter)

	plain, err := w.startPlainServer("desk-1", 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	second := &coldServer{plainServer: plain}
	second.watch()
	w.store.put("servers", second.id, second.entry("sk-b", int(coldTime.Milliseconds())))
	w.note("server %s starts; it is cold for %v and bears %.0f requests in a second", second.id, coldTime, float64(coldBound))
	time.Sleep(coldTime)
	load.end()
	w.note("%s", load)
	return second.broken()
}
