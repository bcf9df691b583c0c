package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// recorder writes the record of a run: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// detailed is true from when each request is recorded.
	detailed atomic.Bool
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

// printf adds a line with the time since the start in seconds.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// detail adds a line while each request is recorded.
func (r *recorder) detail(format string, args ...any) {
	if r.detailed.Load() {
		r.printf(format, args...)
	}
}

func (r *recorder) since() time.Duration { return time.Since(r.start) }
