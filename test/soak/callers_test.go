//go:build soak

package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/platform"
	"github.com/gentiantrail/gentiantrail/platform/platformtest"
)

// newConnInterval is the interval of the requests on connections of their own, to each gateway.
const newConnInterval = 180 * time.Millisecond

// runNewConns sends each request on a new connection, at a steady rate, until ctx is done.
func (tb *testbed) runNewConns(ctx context.Context, g *gatewayProcess, name string) {
	var sent sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		sent.Add(1)
		go func() {
			defer sent.Done()
			if conn, err := net.DialTimeout("tcp4", g.listenAddr, time.Second); err == nil {
				tb.sendRequest(conn, bufio.NewReader(conn), fmt.Sprint(name, "-", n), requestPaths[n%len(requestPaths)], "key-1")
				_ = conn.Close()
			}
		}()
		time.Sleep(newConnInterval)
	}
	sent.Wait()
}

// runSentAhead sends a stream and, before its end, another request on the same connection, until ctx is
// done. It uses its connection as long as it lasts.
func (tb *testbed) runSentAhead(ctx context.Context, g *gatewayProcess, name string) {
	for n := 0; ctx.Err() == nil; {
		conn, err := net.DialTimeout("tcp4", g.listenAddr, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		br := bufio.NewReader(conn)
		for reusable := true; reusable && ctx.Err() == nil; n++ {
			reusable = tb.sendPair(conn, br, fmt.Sprint(name, "-", n), requestPaths[n%len(requestPaths)], n%2 == 0)
		}
		_ = conn.Close()
		time.Sleep(20 * time.Millisecond)
	}
}

// sendPair sends a stream and a request to a path behind it, and reads both answers. The second request is
// sent at once, or when the head of the first answer has not announced the connection's close. It reports
// whether the connection can carry another request.
func (tb *testbed) sendPair(conn net.Conn, br *bufio.Reader, attempt, path string, atOnce bool) bool {
	g := tb.gatewayAt(conn)
	first := &call{attempt: attempt + "-a", path: "/stream/x", gateway: g}
	second := &call{attempt: attempt + "-b", path: path, gateway: g, ahead: first}
	if !tb.writeRequest(conn, first, "key-1") {
		return false
	}
	sent := atOnce && tb.writeRequest(conn, second, "key-1")
	resp := tb.readHead(conn, br, first)
	if resp != nil && !resp.Close && !atOnce {
		sent = tb.writeRequest(conn, second, "key-1")
	}
	reusable := resp != nil && tb.readBody(resp, first)
	switch {
	case !sent:
		return reusable
	case !reusable:
		tb.checker.endCall(second, 0, "", false)
		return false
	}
	_, reusable = tb.readAnswer(conn, br, second)
	return reusable
}

// sendRequest sends one request, whose prompt has the given parts and one of its own, and
// passes its answer to the checker. reusable is true if the connection can carry another request.
func (tb *testbed) sendRequest(conn net.Conn, br *bufio.Reader, attempt, path, key string, parts ...string) (status int, reusable bool) {
	k := &call{attempt: attempt, path: path, gateway: tb.gatewayAt(conn)}
	if !tb.writeRequest(conn, k, key, parts...) {
		return 0, false
	}
	return tb.readAnswer(conn, br, k)
}

// gatewayAt returns the gateway that a connection leads to.
func (tb *testbed) gatewayAt(conn net.Conn) *gatewayProcess {
	for _, g := range tb.gateways {
		if g.listenAddr == conn.RemoteAddr().String() {
			return g
		}
	}
	return nil
}

// requestForms are the forms of requests, each sent in two writes: without a body, with a body of stated
// length and with one in chunks.
var requestForms = []struct{ method, first, last string }{
	{"GET", "", "\r\n"},
	{"POST", "Content-Length: 8\r\n\r\nabcd", "efgh"},
	{"POST", "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n", "4\r\nefgh\r\n0\r\n\r\n"},
}

// writeRequest sends a request in one of requestForms, in turn. It reports whether all of it was sent.
func (tb *testbed) writeRequest(conn net.Conn, k *call, key string, parts ...string) bool {
	names := &platform.Headers
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	tb.checker.beginCall(k)
	form := requestForms[tb.requestsSent.Add(1)%int64(len(requestForms))]
	if slices.ContainsFunc(append(parts, k.path), isCrashing) {
		form = requestForms[0] // crashes are counted for one and the same request
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\n%s: 4000\r\n%s: %s:10\r\nAuthorization: Bearer %s\r\n",
		form.method, k.path, names.Attempt, k.attempt, names.Deadline, names.Prompt, strings.Join(append(parts, k.attempt), ":40,"), key)
	for _, data := range []string{head + form.first, form.last} {
		if _, err := io.WriteString(conn, data); err != nil {
			tb.checker.endCall(k, 0, "", false)
			return false
		}
	}
	tb.checker.sentCall(k)
	return true
}

// readAnswer reads the answer to a request and passes it to the checker.
func (tb *testbed) readAnswer(conn net.Conn, br *bufio.Reader, k *call) (status int, reusable bool) {
	resp := tb.readHead(conn, br, k)
	if resp == nil {
		return 0, false
	}
	return resp.StatusCode, tb.readBody(resp, k)
}

// readHead reads the head of the answer to a request. It returns nil if there is none.
func (tb *testbed) readHead(conn net.Conn, br *bufio.Reader, k *call) *http.Response {
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		tb.checker.endCall(k, 0, "", false)
		return nil
	}
	return resp
}

// readBody reads the rest of an answer and passes it to the checker. It reports whether the connection can
// carry another request.
func (tb *testbed) readBody(resp *http.Response, k *call) bool {
	body, err := io.ReadAll(resp.Body)
	tb.checker.recordAnswer(k.attempt, k.path, resp.StatusCode, resp.Header.Get(platform.Headers.Signature), string(body), err == nil)
	tb.checker.endCall(k, resp.StatusCode, string(body), err == nil)
	return err == nil && !resp.Close
}

// isCrashing reports whether a part of a prompt or a path is one on which targets crash.
func isCrashing(s string) bool { return strings.Contains(s, platformtest.CrashingName) }
