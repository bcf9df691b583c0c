package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// caller sends requests to a gateway.
type caller struct {
	base, host, key string
	rec             *recorder
	http            *http.Client
	served, other   atomic.Int64
	next            atomic.Int64
	wg              sync.WaitGroup
}

func newCaller(base, host, key string, rec *recorder) *caller {
	return &caller{base: base, host: host, key: key, rec: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// streamGap is the pause between events after which clients abandon a stream.
const streamGap = 2 * time.Second

// stream sends a streaming request in the background.
func (c *caller) stream(path string, topic int) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.doStream(path, topic)
	}()
}

func (c *caller) doStream(path string, topic int) {
	id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, c.next.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, strings.NewReader("draft"))
	if err != nil {
		panic(err)
	}
	req.Host = c.host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Usage", "700,156")
	req.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:40,%s:660", 0x5c1e00+topic, id))
	req.Header.Set("X-Topic", strconv.Itoa(topic))
	req.Header.Set("Deadline-Milliseconds", "8000")
	req.Header.Set("Authorization", "Bearer "+c.key)
	gap := time.AfterFunc(streamGap, cancel)
	defer gap.Stop()
	c.rec.printf("client sends %s, topic %d", id, topic)
	resp, err := c.http.Do(req)
	if err != nil {
		c.other.Add(1)
		c.rec.printf("client: %s has no answer: %v", id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		c.other.Add(1)
		_, _ = io.Copy(io.Discard, resp.Body)
		c.rec.printf("client: %s is answered %d", id, resp.StatusCode)
		return
	}
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		gap.Reset(streamGap)
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	if lines.Err() != nil {
		c.other.Add(1)
		c.rec.printf("client: %s ended after %d events: %v", id, events, lines.Err())
		return
	}
	c.served.Add(1)
	c.rec.printf("client: %s is complete with %d events", id, events)
}
