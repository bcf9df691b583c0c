package link

import (
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Defaults and bounds of Config.
const (
	// minKeySize is the minimum length of the shared key in bytes.
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
	// Identity is the identity that this process presents to its peers.
	Identity message.Identity
	// Key is the secret key that all processes share, at least minKeySize bytes long.
	Key []byte
	// QueueLimit is the maximum number of outgoing bytes that wait on one link. An empty
	// queue accepts one frame of any size. Default 4 MiB.
	QueueLimit int
	// HandshakeTimeout is the maximum duration of connecting, and then of the handshake.
	// Default 2 s.
	HandshakeTimeout time.Duration
	// IdleTimeout is the time without any byte from the peer after which a link is
	// closed. Silent peers are pinged, and a live peer answers well within it. Default 2 s.
	IdleTimeout time.Duration
	// BackoffMin and BackoffMax limit the delay before dialling again. Defaults 50 ms and 500 ms.
	BackoffMin, BackoffMax time.Duration
	// MaxPending is the maximum number of accepted connections that have not completed the
	// handshake. Default 256.
	MaxPending int
	// EventLoops is the number of event loops for each direction. Default 2.
	EventLoops int
	// Logger receives one line for each event; with nil, nothing is logged.
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
