package fleet

import (
	"context"
	"errors"
	"time"
)

// Topic is a kind of object in the store.
type Topic uint8

// The topics.
const (
	TopicConfig Topic = iota
	TopicTargets
	TopicEvacuations
	TopicGateways
	// TopicCount is the number of topics.
	TopicCount
)

// String returns the topic's name for logs.
func (t Topic) String() string {
	return [...]string{"config", "targets", "evacuations", "gateways"}[t]
}

// Change is a new version of one object of a topic, or its removal. Of Config, Target and
// Gateway only the field of the topic is set.
type Change struct {
	// Name is the object's name.
	Name string
	// Removed is true if the object was removed.
	Removed bool
	// Written is the position of the object's last change.
	Written Position
	Config  *Config
	Target  *Target
	Gateway *Gateway
}

// Gateway is the entry of one gateway in the store.
type Gateway struct {
	Name string
	// PeerAddress is the IP address and UDP port for messages from other gateways.
	PeerAddress string
}

// Batch is the answer of a List or Watch call.
type Batch struct {
	Changes []Change
	// Position is the store's position after which to watch for further changes.
	Position Position
	// Undecodable counts objects that could not be decoded and are missing from Changes.
	Undecodable int
}

// ErrHistoryGone reports that the store does not have the changes after a position.
var ErrHistoryGone = errors.New("the store does not have the changes after this position")

// ErrOlderEra reports an answer from before the last restore of the store.
var ErrOlderEra = errors.New("the answer is from before the last restore of the store")

// Source gives a gateway access to the platform's store.
type Source interface {
	// List returns all objects of a topic.
	List(ctx context.Context, topic Topic) (Batch, error)
	// Watch waits for changes of a topic after a position, for at most wait or until ctx ends.
	Watch(ctx context.Context, topic Topic, after Position, wait time.Duration) (Batch, error)
	// Register writes this gateway's entry for the others and returns the era of the store
	// that has it.
	Register(ctx context.Context, g Gateway) (era int64, err error)
	// Ping calls the store at the lowest price, to learn its era.
	Ping(ctx context.Context, g Gateway) error
	// Era returns the highest era that an answer of the store has had, including the answers
	// of failed calls.
	Era() int64
}
