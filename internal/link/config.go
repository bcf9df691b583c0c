package link

import (
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Defaults and bounds of Config.
const (
	// minKeySize is the least length of the shared key in bytes.
	minKeySize = 16

	defaultQueueLimit       = 4 << 20 // bytes
	defaultHandshakeTimeout = 2 * time.Second
	defaultIdleTimeout      = 2 * time.Second
	defaultBackoffMin       = 50 * time.Millisecond
	defaultBackoffMax       = 500 * time.Millisecond
	defaultMaxPending       = 256
	defaultEventLoops       = 2
)

// Config holds the settings of a Node. Zero values select the defaults.
type Config struct {
	// Identity is what this process says of itself to its peers.
	Identity message.Identity
	// Key is the key that all processes share, at least minKeySize bytes.
	Key []byte
	// QueueLimit is the most outgoing bytes that wait on one link. An empty queue
	// takes one frame of any size. Default 4 MiB.
	QueueLimit int
	// HandshakeTimeout bounds connecting and proving the key. Default 2 s.
	HandshakeTimeout time.Duration
	// IdleTimeout is the time without any byte from the peer after which a link is
	// closed; a peer that is alive answers pings well within it. Default 2 s.
	IdleTimeout time.Duration
	// BackoffMin and BackoffMax bound the pause before dialling again. Defaults 50 ms and 500 ms.
	BackoffMin, BackoffMax time.Duration
	// MaxPending is the most accepted connections without a finished handshake. Default 256.
	MaxPending int
	// EventLoops is the number of event loops for each direction. Default 2.
	EventLoops int
	// Logger receives one line for each event; nil discards them.
	Logger *log.Logger
}

func (c Config) withDefaults() (Config, error) {
	if len(c.Key) < minKeySize {
		return c, &Error{Reason: ReasonConfig, Detail: "the link key is shorter than 16 bytes"}
	}
	if c.Identity.Name == "" {
		return c, &Error{Reason: ReasonConfig, Detail: "the identity has no name"}
	}
	c.QueueLimit = orDefault(c.QueueLimit, defaultQueueLimit)
	c.HandshakeTimeout = orDefault(c.HandshakeTimeout, defaultHandshakeTimeout)
	c.IdleTimeout = orDefault(c.IdleTimeout, defaultIdleTimeout)
	c.BackoffMin = orDefault(c.BackoffMin, defaultBackoffMin)
	c.BackoffMax = max(orDefault(c.BackoffMax, defaultBackoffMax), c.BackoffMin)
	c.MaxPending = orDefault(c.MaxPending, defaultMaxPending)
	c.EventLoops = orDefault(c.EventLoops, defaultEventLoops)
	if c.Logger == nil {
		c.Logger = &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	}
	return c, nil
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}
