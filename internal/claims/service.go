package claims

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// Service claims keys in a platform.Store. One goroutine, Run, owns its partitions;
// the other methods are safe for concurrent use.
type Service struct {
	store  platform.Store
	cfg    Config
	owner  Owner
	start  time.Time
	inbox  chan any
	done   chan struct{}
	nextID atomic.Uint64
}

// NewService returns a Service for one incarnation of a process. The other methods have
// no effect until Run is started.
func NewService(store platform.Store, cfg Config, owner Owner) *Service {
	return &Service{
		store: store,
		cfg:   cfg.WithDefaults(),
		owner: owner,
		start: time.Now(),
		inbox: make(chan any, 64),
		done:  make(chan struct{}),
	}
}

// The messages of the inbox and the replies to them.
type (
	claimCall struct {
		key   Key
		event ClaimEvent
		reply chan claimReply
	}
	claimReply struct {
		result Result
		err    *apierr.Error
	}
	cancelCall  struct{ call *claimCall }
	outcomeCall struct {
		token Token
		event OutcomeEvent
	}
	storeAnswer struct {
		partition *partitionEntry
		event     StoreEvent
	}
	flushCall struct{ reply chan struct{} }
	statsCall struct{ reply chan Stats }
)

// Claim claims key for a request with the given digest. It returns once the claim is
// decided, at the latest soon after ctx ends. An error is an *apierr.Error of
// apierr.KindClaimUnavailable; the caller must then never run the request. A caller
// that gets Claimed must Record the outcome, even if ctx has ended.
func (s *Service) Claim(ctx context.Context, key Key, digest Digest) (Result, error) {
	c := &claimCall{
		key:   key,
		event: ClaimEvent{ID: s.nextID.Add(1), Key: key.Hash(), Digest: digest, Deadline: never},
		reply: make(chan claimReply, 1),
	}
	if d, ok := ctx.Deadline(); ok {
		c.event.Deadline = d.Sub(s.start)
	}
	if !s.send(ctx, c) {
		return Result{}, unavailableError()
	}
	select {
	case r := <-c.reply:
		return r.unpack()
	case <-s.done:
		return Result{}, unavailableError()
	case <-ctx.Done():
	}
	// The partition decides, because the claim may be durable already.
	s.send(context.Background(), cancelCall{call: c})
	select {
	case r := <-c.reply:
		return r.unpack()
	case <-s.done:
		return Result{}, unavailableError()
	}
}

func unavailableError() error { return apierr.New(apierr.KindClaimUnavailable, "claim given up") }

func (r claimReply) unpack() (Result, error) {
	if r.err != nil {
		return Result{}, r.err
	}
	return r.result, nil
}

// send puts m into the inbox. It returns false if ctx or Run ends first.
func (s *Service) send(ctx context.Context, m any) bool {
	select {
	case s.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	case <-s.done:
		return false
	}
}

// Record reports the outcome of a claimed request. Repeats at this process see it
// immediately, repeats at other processes once it has been written; Flush waits for
// that. Only the first outcome of a token counts.
func (s *Service) Record(t Token, o Outcome) {
	s.send(context.Background(), outcomeCall{token: t, event: OutcomeEvent{Key: t.key, Seq: t.seq, Outcome: o}})
}

// Flush waits until all claims are decided and all outcomes are durable, or ctx ends.
func (s *Service) Flush(ctx context.Context) error {
	f := flushCall{reply: make(chan struct{})}
	if !s.send(ctx, f) {
		return unavailableError()
	}
	select {
	case <-f.reply:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return unavailableError()
	}
}

// PartitionStats describes one partition in the state dump.
type PartitionStats struct {
	Name     string `json:"name"`
	Claims   int    `json:"claims"`
	Segments int    `json:"segments"`
	// Unsettled is the number of pending claims plus the number of outcomes that are not
	// durable yet.
	Unsettled int `json:"unsettled"`
	// Failures is the number of consecutive failed platform calls.
	Failures int `json:"failures"`
	// Broken is the reason why the log is inconsistent, or empty. While it is set, claims
	// that the partition's view of the log does not decide are refused.
	Broken string `json:"broken,omitempty"`
}

// Stats describes the partitions that the process has used.
type Stats struct {
	Partitions []PartitionStats `json:"partitions"`
}

// Stats returns the statistics for the state dump.
func (s *Service) Stats(ctx context.Context) (Stats, error) {
	c := statsCall{reply: make(chan Stats, 1)}
	if !s.send(ctx, c) {
		return Stats{}, unavailableError()
	}
	select {
	case stats := <-c.reply:
		return stats, nil
	case <-ctx.Done():
		return Stats{}, ctx.Err()
	case <-s.done:
		return Stats{}, unavailableError()
	}
}

func partitionName(service string, partition uint32) string {
	return fmt.Sprintf("%s/%d", service, partition)
}
