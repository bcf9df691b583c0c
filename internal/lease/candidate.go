package lease

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// conflictJitter is the upper bound of the random wait after a conflict.
	conflictJitter = 50 * time.Millisecond
	// maxReleaseFailures is the number of consecutive failures after which a release is
	// abandoned; the lease then expires at the end of its term.
	maxReleaseFailures = 5
	// maxAttempts is the maximum number of writes whose send times are remembered until
	// their outcomes are known.
	maxAttempts = 16
)

// attempt is a write of this candidate that may have taken effect.
type attempt struct {
	nonce  uint64
	sentAt time.Duration
}

// Candidate is the state machine of one process that wants a lease. It performs no I/O
// and reads no clock: Step takes an event and the time and returns effects. Times are
// monotonic durations since the start of the process.
type Candidate struct {
	cfg    Config
	id     string
	random *rand.Rand

	now     time.Duration
	effects []Effect
	// calling is true while a call is in flight.
	calling bool
	// nextAt is the time at which the next call is due.
	nextAt   time.Duration
	failures int

	// current is the last known state of the object and version its version. seenAt is a
	// time at which this version had already been written.
	current object
	version uint64
	seenAt  time.Duration
	// upToDate is false while the object must be read before the next write: initially,
	// during a read, and after a failed read, a conflict or a write with an unknown outcome.
	upToDate bool
	// written is the object that the last write sent; nonce identifies that write.
	written  object
	nonce    uint64
	attempts []attempt

	held   bool
	fence  uint64
	expiry time.Duration
	// maxFence is the highest fence that this candidate has read or written.
	maxFence  uint64
	releasing bool
	done      bool
}

// NewCandidate returns a candidate. The id must be unique for the incarnation of the
// process. The seed randomises the retry times.
func NewCandidate(cfg Config, id string, seed uint64) *Candidate {
	return &Candidate{cfg: cfg.WithDefaults(), id: id, random: rand.New(rand.NewPCG(seed, 0))}
}

// Valid reports whether the lease is held at now and returns its fence. It must be
// called right before each order.
func (c *Candidate) Valid(now time.Duration) (fence uint64, ok bool) {
	return c.fence, c.held && now < c.expiry
}

// NextWake returns the time at which the candidate next needs a TickEvent, and false if
// it needs none.
func (c *Candidate) NextWake() (time.Duration, bool) {
	switch {
	case c.held && c.calling:
		return c.expiry, true
	case c.held:
		return min(c.expiry, c.nextAt), true
	default:
		return c.nextAt, !c.calling && !c.done
	}
}

// Step handles one event at now and returns its effects.
func (c *Candidate) Step(now time.Duration, e Event) []Effect {
	c.now, c.effects = now, nil
	switch e := e.(type) {
	case ReadEvent:
		c.calling = false
		c.onRead(e)
	case WriteEvent:
		c.calling = false
		c.onWrite(e)
	case ReleaseEvent:
		c.releasing = true
		c.markLost()
		c.nextAt = c.now
	case TickEvent:
	}
	if c.held && c.now >= c.expiry {
		c.markLost()
	}
	if !c.calling && !c.done && c.now >= c.nextAt {
		c.startCall()
	}
	return c.effects
}

// startCall starts the next call, or finishes a release.
func (c *Candidate) startCall() {
	isHolder := c.current.Holder == c.id && !c.current.Released
	switch {
	case c.releasing && c.failures >= maxReleaseFailures:
		c.finish()
	case !c.upToDate:
		c.startRead()
	case c.releasing && isHolder:
		c.write(object{Holder: c.id, Fence: c.current.Fence, Released: true})
	case c.releasing:
		c.finish()
	case isHolder && c.held:
		c.write(object{Holder: c.id, Fence: c.fence})
	case isHolder, c.canTakeOver():
		c.write(object{Holder: c.id, Fence: c.maxFence + 1})
	default:
		c.startRead()
	}
}

// canTakeOver reports whether the lease can be taken over: it was never held, it was
// released, or it has not been renewed for its whole term, measured by this candidate's
// clock.
func (c *Candidate) canTakeOver() bool {
	neverHeld := c.version == 0 && c.maxFence == 0
	return neverHeld || c.current.Released || c.now-c.seenAt >= max(c.current.Term, c.cfg.Term)
}

func (c *Candidate) startRead() {
	c.calling = true
	c.upToDate = false
	c.effects = append(c.effects, ReadEffect{})
}

func (c *Candidate) write(o object) {
	c.nonce++
	o.Nonce, o.Term = c.nonce, c.cfg.Term
	c.written = o
	c.calling = true
	if len(c.attempts) == maxAttempts {
		c.attempts = c.attempts[1:]
	}
	c.attempts = append(c.attempts, attempt{nonce: c.nonce, sentAt: c.now})
	c.effects = append(c.effects, WriteEffect{Value: o.encode(), IfVersion: c.version})
}

func (c *Candidate) onRead(e ReadEvent) {
	switch {
	case errors.Is(e.Err, platform.ErrNotFound) && c.version == 0:
		c.upToDate, c.failures = true, 0
		c.scheduleNext()
	case errors.Is(e.Err, platform.ErrNotFound):
		// The object was deleted by hand. Its holder may continue for a whole term.
		c.failures = 0
		c.observe(object{}, 0)
	case e.Err != nil || e.Object.Version < c.version:
		c.scheduleRetry()
	case e.Object.Version == c.version:
		c.upToDate, c.failures = true, 0
		c.scheduleNext()
	default:
		var o object
		if err := cbor.Unmarshal(e.Object.Value, &o); err != nil {
			c.scheduleRetry()
			return
		}
		c.failures = 0
		c.observe(o, e.Object.Version)
	}
}

func (c *Candidate) onWrite(e WriteEvent) {
	switch {
	case e.Err == nil:
		c.failures = 0
		c.observe(c.written, e.Version)
	case errors.Is(e.Err, platform.ErrIndeterminate):
		c.upToDate = false
		c.scheduleRetry()
	case errors.Is(e.Err, platform.ErrConflict):
		c.upToDate = false
		c.nextAt = c.now + time.Duration(c.random.Int64N(int64(conflictJitter)))
	default:
		c.attempts = c.attempts[:len(c.attempts)-1]
		c.scheduleRetry()
	}
}

// observe handles a new version of the object. Indeterminate writes to earlier versions
// can no longer take effect.
func (c *Candidate) observe(o object, version uint64) {
	c.upToDate = true
	c.current, c.version, c.seenAt = o, version, c.now
	c.maxFence = max(c.maxFence, o.Fence)
	switch {
	case o.Holder != c.id || o.Released:
		c.markLost()
	case !c.releasing:
		c.grant(o)
	}
	c.attempts = nil
	c.scheduleNext()
}

// grant marks the lease as held for a term, less the margin, that starts when the write
// of o was sent.
func (c *Candidate) grant(o object) {
	for _, a := range c.attempts {
		expiry := a.sentAt + c.cfg.Term - c.cfg.Margin
		if a.nonce == o.Nonce && c.now < expiry {
			c.held, c.fence, c.expiry = true, o.Fence, expiry
			c.effects = append(c.effects, GrantEffect{Fence: c.fence, Expiry: c.expiry})
		}
	}
}

func (c *Candidate) markLost() {
	if c.held {
		c.held = false
		c.effects = append(c.effects, LostEffect{})
	}
}

func (c *Candidate) finish() {
	c.done = true
	c.effects = append(c.effects, DoneEffect{})
}

// scheduleNext sets the time of the next call after a successful one.
func (c *Candidate) scheduleNext() {
	isHolder := c.current.Holder == c.id && !c.current.Released
	switch {
	case c.releasing, isHolder && !c.held, c.canTakeOver():
		c.nextAt = c.now
	case isHolder:
		c.nextAt = max(c.now, c.expiry-c.cfg.Term+c.cfg.Margin+c.cfg.RenewInterval)
	default:
		c.nextAt = min(c.now+c.cfg.PollInterval, c.seenAt+max(c.current.Term, c.cfg.Term))
	}
}

// scheduleRetry counts a failed call and sets the time of the next one, with backoff.
func (c *Candidate) scheduleRetry() {
	c.failures++
	backoff := min(minBackoff<<min(c.failures-1, 16), maxBackoff)
	c.nextAt = c.now + backoff/2 + time.Duration(c.random.Int64N(int64(backoff)))
}
