package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// clients sends requests to a gateway on kept connections.
type clients struct {
	gateway *process
	method  string
	host    string
	path    string
	record  *record
	next    atomic.Int64
	// quiet leaves the answers out of the record. onSend and onEnd, if set, are called for each request.
	quiet  bool
	onSend func(id string, at time.Time)
	onEnd  func(id string, status int)
	// statuses counts the answers by status; 0 stands for a connection without an answer.
	mu       sync.Mutex
	statuses map[int]int
}

func newClients(g *process, method, host, path string, r *record) *clients {
	return &clients{gateway: g, method: method, host: host, path: path, record: r, statuses: map[int]int{}}
}

// run sends a request every interval until done is closed.
func (c *clients) run(interval time.Duration, done <-chan struct{}, wg *sync.WaitGroup) {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}
	client := &http.Client{Transport: transport, Timeout: 3 * time.Second}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	defer wg.Done()
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			pending.Add(1)
			go func() {
				defer pending.Done()
				c.send(client)
			}()
		}
	}
}

func (c *clients) send(client *http.Client) {
	id := fmt.Sprintf("%s-%s-%d", c.gateway.name, c.method, c.next.Add(1))
	req, err := http.NewRequest(c.method, "http://"+c.gateway.listen+c.path, nil)
	if err != nil {
		panic(err)
	}
	req.Host = c.host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Milliseconds", "1500")
	if c.onSend != nil {
		c.onSend(id, time.Now())
	}
	status := 0
	resp, err := client.Do(req)
	if err == nil {
		if _, err = io.Copy(io.Discard, resp.Body); err == nil {
			status = resp.StatusCode
		}
		_ = resp.Body.Close()
	}
	if c.onEnd != nil {
		c.onEnd(id, status)
	}
	if status != http.StatusOK && !c.quiet {
		c.record.linef("client: %s is answered %d", id, status)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[status]++
}

// summary returns the numbers of answers by status.
func (c *clients) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.statuses)
}
