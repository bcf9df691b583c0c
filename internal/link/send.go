package link

import (
	"context"
	"errors"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// fullRetryInterval is the delay before another attempt to queue a message on a full queue.
const fullRetryInterval = time.Millisecond

// SendWait queues m on p and waits while the outgoing queue is full. It returns
// ctx.Err() if ctx ends first, and the error of Send for every other failure; in
// both cases m was not sent.
func SendWait(ctx context.Context, p Peer, m message.Message) error {
	for {
		err := p.Send(m)
		if !errors.Is(err, ErrQueueFull) {
			return err
		}
		select {
		case <-time.After(fullRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
