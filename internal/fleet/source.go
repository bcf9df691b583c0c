package fleet

import (
	"context"
	"errors"
	"time"
)

// Topic is one part of what the store says.
type Topic uint8

// The topics.
const (
	TopicConfig Topic = iota
	TopicTargets
	TopicEvacuations
	TopicGateways
	topicCount
)

// String returns the topic's name for logs.
func (t Topic) String() string {
	return [...]string{"config", "targets", "evacuations", "gateways"}[t]
}

// Change is one object of a topic, or its removal. Just the field of its topic is set.
type Change struct {
	// Name is the object's name.
	Name string
	// Removed tells that the object is gone.
	Removed bool
	Config  *Config
	Target  *Target
	Gateway *Gateway
}

// Gateway is the announcement of one gateway.
type Gateway struct {
	Name string
	// PeerAddress is the IP address and UDP port where it hears other gateways.
	PeerAddress string
}

// Batch is the answer of a List or Watch call.
type Batch struct {
	Changes []Change
	// Revision is the store's revision to watch from.
	Revision int64
	// Refused counts objects that could not be decoded; they name nothing to use.
	Refused int
}

// ErrHistoryGone means that the store no longer has the changes after a revision.
var ErrHistoryGone = errors.New("the store's history after this revision is gone")

// Source is the platform's store as a gateway reads it.
type Source interface {
	// List returns all objects of a topic.
	List(ctx context.Context, topic Topic) (Batch, error)
	// Watch waits up to wait for changes of a topic after a revision.
	Watch(ctx context.Context, topic Topic, revision int64, wait time.Duration) (Batch, error)
	// Register announces this gateway to the others.
	Register(ctx context.Context, g Gateway) error
}
