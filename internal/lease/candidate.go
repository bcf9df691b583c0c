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
	// conflictSpread bounds the random wait after a conflict.
	conflictSpread = 50 * time.Millisecond
	// maxReleaseFailures is the number of failures in a row after which a release is
	// left to the lease's lapse.
	maxReleaseFailures = 5
	// maxAttempts bounds the writes in doubt whose sending times are remembered.
	maxAttempts = 16
)

// attempt is a write of this candidate that may have taken effect.
type attempt struct {
	nonce  uint64
	sentAt time.Duration
}

// Candidate is the state machine of one process that wants a lease. It does no I/O
// and reads no clock: Step takes an event and the time and returns effects. Times
// are monotonic durations since the process's start.
type Candidate struct {
	cfg    Config
	id     string
	random *rand.Rand

	now     time.Duration
	effects []Effect
	// calling tells that a call is in flight.
	calling bool
	// nextAt is when the next call is due.
	nextAt   time.Duration
	failures int

	// current is the object as last seen, version its version and seenAt a time at
	// which this version was already written.
	current object
	version uint64
	seenAt  time.Duration
	// read tells that the object has been read once.
	read bool
	// written is the object of the write in flight.
	written  object
	nonce    uint64
	attempts []attempt

	held   bool
	fence  uint64
	expiry time.Duration
	// maxFence is the highest fence seen.
	maxFence  uint64
	releasing bool
	done      bool
}

// NewCandidate returns a candidate with an id that is unique for the process's
// incarnation. The seed spreads retries.
func NewCandidate(cfg Config, id string, seed uint64) *Candidate {
	return &Candidate{cfg: cfg.WithDefaults(), id: id, random: rand.New(rand.NewPCG(seed, 0))}
}

// Valid returns the fence if the lease is held at now. It must be asked right before each order.
func (c *Candidate) Valid(now time.Duration) (fence uint64, ok bool) {
	return c.fence, c.held && now < c.expiry
}

// NextWake returns when the candidate needs a TickEvent, if it needs one.
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
		c.lose()
		c.nextAt = c.now
	case TickEvent:
	}
	if c.held && c.now >= c.expiry {
		c.lose()
	}
	if !c.calling && !c.done && c.now >= c.nextAt {
		c.act()
	}
	return c.effects
}

// act makes the next call, or plans it.
func (c *Candidate) act() {
	mine := c.current.Holder == c.id && !c.current.Released
	switch {
	case c.releasing && c.failures >= maxReleaseFailures:
		c.finish()
	case !c.read:
		c.startRead()
	case c.releasing && mine:
		c.write(object{Holder: c.id, Fence: c.current.Fence, Released: true})
	case c.releasing:
		c.finish()
	case mine && c.held:
		c.write(object{Holder: c.id, Fence: c.fence})
	case mine, c.free():
		c.write(object{Holder: c.id, Fence: c.maxFence + 1})
	default:
		c.startRead()
	}
}

// free reports whether the lease may be taken over: it was released, or it has not been
// renewed for its whole term as measured here.
func (c *Candidate) free() bool {
	never := c.version == 0 && c.maxFence == 0
	return never || c.current.Released || c.now-c.seenAt >= max(c.current.Term, c.cfg.Term)
}

func (c *Candidate) startRead() {
	c.calling = true
	c.read = false
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
		c.read, c.failures = true, 0
		c.plan()
	case errors.Is(e.Err, platform.ErrNotFound):
		// Removed by hand: its holder may go on for a whole term.
		c.failures = 0
		c.observe(object{}, 0)
	case e.Err != nil || e.Object.Version < c.version:
		c.fail()
	case e.Object.Version == c.version:
		c.read, c.failures = true, 0
		c.plan()
	default:
		var o object
		if err := cbor.Unmarshal(e.Object.Value, &o); err != nil {
			c.fail()
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
	case errors.Is(e.Err, platform.ErrUnclear):
		c.read = false
		c.fail()
	case errors.Is(e.Err, platform.ErrConflict):
		c.read = false
		c.nextAt = c.now + time.Duration(c.random.Int64N(int64(conflictSpread)))
	default:
		c.attempts = c.attempts[:len(c.attempts)-1]
		c.fail()
	}
}

// observe takes a new version of the object. No earlier write in doubt can take effect any more.
func (c *Candidate) observe(o object, version uint64) {
	c.read = true
	c.current, c.version, c.seenAt = o, version, c.now
	c.maxFence = max(c.maxFence, o.Fence)
	switch {
	case o.Holder != c.id || o.Released:
		c.lose()
	case !c.releasing:
		c.grant(o)
	}
	c.attempts = nil
	c.plan()
}

// grant holds the lease for a term that began before the write of o was sent.
func (c *Candidate) grant(o object) {
	for _, a := range c.attempts {
		expiry := a.sentAt + c.cfg.Term - c.cfg.Margin
		if a.nonce == o.Nonce && c.now < expiry {
			c.held, c.fence, c.expiry = true, o.Fence, expiry
			c.effects = append(c.effects, GrantEffect{Fence: c.fence, Expiry: c.expiry})
		}
	}
}

func (c *Candidate) lose() {
	if c.held {
		c.held = false
		c.effects = append(c.effects, LostEffect{})
	}
}

func (c *Candidate) finish() {
	c.done = true
	c.effects = append(c.effects, DoneEffect{})
}

// plan sets the time of the next call after a successful one.
func (c *Candidate) plan() {
	mine := c.current.Holder == c.id && !c.current.Released
	switch {
	case c.releasing, mine && !c.held, c.free():
		c.nextAt = c.now
	case mine:
		c.nextAt = max(c.now, c.expiry-c.cfg.Term+c.cfg.Margin+c.cfg.Renew)
	default:
		c.nextAt = min(c.now+c.cfg.Poll, c.seenAt+max(c.current.Term, c.cfg.Term))
	}
}

// fail schedules the next call after a failed one.
func (c *Candidate) fail() {
	c.failures++
	backoff := min(minBackoff<<min(c.failures-1, 16), maxBackoff)
	c.nextAt = c.now + backoff/2 + time.Duration(c.random.Int64N(int64(backoff)))
}
