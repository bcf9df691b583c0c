package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// edgeMemory is memoryMb of an edge machine of a small deployment, in bytes.
	edgeMemory = 284_000_000
	// headerLimit is headerBytes of the configuration.
	headerLimit = 16384
	// memoryTime is how long the callers send.
	memoryTime = 100 * time.Second
	// memoryCallers is the number of callers, each of which has one request at a time on a kept connection.
	memoryCallers = 150
	// callerPause is the pause of a caller between two requests.
	callerPause = 500 * time.Millisecond
	// firstToken is the time until the first event of a stream.
	firstToken = 200 * time.Millisecond
)

func init() { cases["prompt-memory"] = promptMemory }

// promptMemory lets callers send prompts of many parts, of which one is new in each request: that of the caller's own
// document. With the disruption the list of the parts fills the header up to its limit; without it, the requests are
// the same, and the list has the first parts only. The platform kills a process that exceeds memoryMb.
func promptMemory(s *scene) (bool, error) {
	st := newStore(s.record)
	st.put("config", "main", modelConfig())
	var all arrivals
	for i := range 16 {
		id := fmt.Sprintf("i-%d", i)
		server, err := startServer(id, firstToken, &all)
		if err != nil {
			return false, err
		}
		defer server.stop()
		entry := server.entry("drafting", "z1")
		entry["concurrencySlots"] = 12
		st.put("servers", id, entry)
	}
	address, err := st.listen("edge-1")
	if err != nil {
		return false, err
	}
	p, err := startGateway(s.root, s.dir, "edge-1", "z1", address)
	if err != nil {
		return false, err
	}
	s.processes = append(s.processes, p)
	if err := p.awaitReady(10 * time.Second); err != nil {
		return false, err
	}

	var sent, whole, other atomic.Int64
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range memoryCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
			for {
				select {
				case <-done:
					return
				case <-time.After(callerPause):
				}
				if sendPrompt(client, p, sent.Add(1), s.trouble) {
					whole.Add(1)
				} else {
					other.Add(1)
				}
			}
		}()
	}
	killed := false
	most := 0
	for begin := time.Now(); time.Since(begin) < memoryTime && !killed; time.Sleep(200 * time.Millisecond) {
		used, err := p.memory()
		if err != nil {
			return false, err
		}
		if used/mb/20 > most/mb/20 {
			s.record.linef("edge-1 uses %d MB; %d requests sent, %d answered whole, %d not", used/mb, sent.Load(), whole.Load(), other.Load())
		}
		most = max(most, used)
		if used > edgeMemory {
			s.record.linef("edge-1 exceeds memoryMb, %d MB: the platform kills it", edgeMemory/mb)
			killed = true
			before := other.Load()
			_ = p.cmd.Process.Kill()
			time.Sleep(300 * time.Millisecond)
			s.record.linef("requests that were cut or refused in the 0.3 s after that: %d", other.Load()-before)
		}
	}
	close(done)
	wg.Wait()
	s.record.linef("requests sent %d, answered whole %d, not %d; most memory %d MB of %d", sent.Load(), whole.Load(), other.Load(), most/mb, edgeMemory/mb)
	if whole.Load() == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return killed, nil
}

// promptText is the body of a request, the text of some 60,000 tokens.
var promptText = strings.Repeat("convoy ", 42000)

// sendPrompt sends a streaming request and reports whether its whole answer has arrived.
func sendPrompt(client *http.Client, p *process, n int64, long bool) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.listen+"/draft/2f", strings.NewReader(promptText))
	if err != nil {
		panic(err)
	}
	req.Host = "drafts.example"
	req.Header.Set("Attempt-Id", fmt.Sprintf("%016x", n))
	req.Header.Set("Deadline-Milliseconds", "8000")
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Usage", "60000,80")
	req.Header.Set("Prompt-Prefix", promptPrefix(n, long))
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Count(string(body), "\n\n") == events
}

// promptPrefix returns the parts of a prompt: some that all requests share, one of the caller's document, and those of
// the session.
func promptPrefix(n int64, long bool) string {
	var b strings.Builder
	for i := range 8 {
		fmt.Fprintf(&b, "%08x:40,", 0xa0000000+i)
	}
	fmt.Fprintf(&b, "%08x:200", n)
	for i := 0; i < 23 || long && b.Len() < headerLimit-600; i++ {
		fmt.Fprintf(&b, ",%08x:12", 0xb0000000+i)
	}
	fmt.Fprintf(&b, ",%08x:30", 0xc0000000+n)
	return b.String()
}

// mb is the number of bytes of a megabyte.
const mb = 1_000_000

// memory returns the resident memory of the process in bytes.
func (p *process) memory() (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kib, err := strconv.Atoi(fields[1])
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("%s has ended", p.name)
}

// modelConfig returns a configuration with one service of model servers.
func modelConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-draft", "host": "drafts.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 8000,
			"targetLatencyMs": 400, "targetGapMs": 120, "priority": 1, "service": "drafting", "maxAttempts": 2, "allowAnonymous": false,
			"sessionAffinity": true, "resumeStreams": true,
		}},
		"services": []map[string]any{{
			"name": "drafting", "healthCheckPath": "/health", "connectionLimit": 328, "protocol": "h1", "tls": false, "coldStartS": 0.0,
		}},
		"limits":  map[string]any{"headerBytes": headerLimit, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{},
	}
}
