package link

import (
	"context"
	"errors"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// fullRetryInterval is the delay before another attempt to queue a message on a full queue.
const fullRetryInterval = time.Millisecond

// SendSoon queues m on p. While the outgoing queue is full, it goes on trying in the
// background for at most d; the order relative to later messages is then open. Every other
// failure means that the link has ended, of which the Handler is told.
func SendSoon(p Peer, m message.Message, d time.Duration) {
	if err := p.Send(m); !errors.Is(err, ErrQueueFull) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		_ = SendWait(ctx, p, m)
	}()
}

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
