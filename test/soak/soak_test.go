//go:build soak

package soak

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/platform"
)

var (
	firstSeed = flag.Uint64("first", 1, "the first seed")
	lastSeed  = flag.Uint64("last", 3, "the last seed")
	length    = flag.Duration("length", 8*time.Second, "time during which faults strike, for each seed")
	callers   = flag.Int("callers", 12, "callers of each seed")
)

const (
	// recoveryTime is how long after the last fault all is well again.
	recoveryTime = 9 * time.Second
	// patience is the time that callers wait for a whole answer.
	patience = 5 * time.Second
)

func TestSoak(t *testing.T) {
	for seed := *firstSeed; seed <= *lastSeed; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}

// play strikes with the seed's faults under load, and requires that the promises hold
// all the while and that service is back afterwards.
func play(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	w.awaitReady()
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for i := range *callers {
		load.Add(1)
		go func() {
			defer load.Done()
			w.call(ctx, i)
		}()
	}
	w.strikeFor(*length)
	time.Sleep(recoveryTime)
	cancel()
	load.Wait()
	w.judge.mu.Lock()
	broken, answers := w.judge.broken, w.judge.answers
	w.judge.mu.Unlock()
	t.Logf("seed %d: %d faults, answers %v", seed, len(w.faults), answers)
	assert.Assert(t, len(broken) == 0, "%d broken promises:\n%s", len(broken), strings.Join(broken, "\n"))
	w.checkService()
}

// strikeFor begins faults one after the other; they end on their own and overlap.
func (w *world) strikeFor(span time.Duration) {
	begin := time.Now()
	var ends sync.WaitGroup
	for time.Since(begin) < span {
		name, lasts, end := w.strike()
		w.faults = append(w.faults, fmt.Sprintf("%s %.3f %s for %v", time.Now().Format("05.000"), time.Since(begin).Seconds(), name, lasts))
		if end != nil {
			ends.Add(1)
			time.AfterFunc(lasts, func() {
				defer ends.Done()
				end()
			})
		}
		time.Sleep(time.Duration(100+w.rng.IntN(500)) * time.Millisecond)
	}
	ends.Wait()
}

func (w *world) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, g := range w.gateways {
		for {
			resp, err := http.Get("http://" + g.ready + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			assert.Assert(w.t, time.Now().Before(deadline), "%s is not ready", g.name)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkService requires that every gateway serves every kind of request again.
func (w *world) checkService() {
	for i, g := range w.gateways {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
			served := 0
			for n := range 10 {
				conn, err := net.DialTimeout("tcp4", g.front, time.Second)
				if err != nil {
					continue
				}
				status, _ := w.ask(conn, bufio.NewReader(conn), fmt.Sprintf("key-1-check-%d-%s-%d", i, path[1:], n), path, "key-1")
				_ = conn.Close()
				if status == 200 {
					served++
				}
			}
			assert.Assert(w.t, served >= 9, "%s served %d of 10 requests on %s after all faults", g.name, served, path)
		}
	}
}

// call sends requests until ctx ends. Connections are used as long as they last, also
// those to gateways that stop.
func (w *world) call(ctx context.Context, caller int) {
	paths := []string{"/once/x", "/safe/x", "/stream/x"}
	g := w.gateways[caller%len(w.gateways)]
	var conn net.Conn
	var br *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			c, err := net.DialTimeout("tcp4", g.front, time.Second)
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			conn, br = c, bufio.NewReader(c)
		}
		key := fmt.Sprintf("key-%d", 1+caller%2)
		status, keep := w.ask(conn, br, fmt.Sprintf("%s-%d-%d", key, caller, n), paths[(caller+n)%len(paths)], key)
		if !keep {
			_ = conn.Close()
			conn = nil
		}
		if status != 200 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// ask sends one request and hands its answer to the judge.
func (w *world) ask(conn net.Conn, br *bufio.Reader, attempt, path, key string) (status int, keep bool) {
	names := &platform.Headers
	_ = conn.SetDeadline(time.Now().Add(patience))
	w.judge.asked(attempt)
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\n%s: 4000\r\nAuthorization: Bearer %s\r\n\r\n",
		path, names.Attempt, attempt, names.Deadline, key)
	if err != nil {
		return 0, false
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, false
	}
	body, err := io.ReadAll(resp.Body)
	w.judge.answered(attempt, path, resp.StatusCode, resp.Header.Get(names.Signature), string(body), err == nil)
	return resp.StatusCode, err == nil && !resp.Close
}
