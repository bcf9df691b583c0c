package agent

import (
	"context"
	"errors"
	"io"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/target"
)

const (
	// maxChunk is the maximum number of body bytes in one ResponseData frame.
	maxChunk = 32 << 10
	// maxSingleFrameBody is the largest body that is sent in the same frame as the answer's
	// head, in bytes.
	maxSingleFrameBody = 16 << 10
)

// relaySingleFrame reads a short answer to its end, sends it in one frame and returns the
// number of body bytes. It sends nothing if the answer is truncated. onBody, if not nil,
// receives the body.
func relaySingleFrame(j *job, r *target.Response, onBody func([]byte), load message.Load) (int64, *apierr.Error) {
	body := make([]byte, r.Length)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return 0, bodyFailure(j.ctx, err)
	}
	// The connection can be reused only after the end of the body has been read.
	if _, err := r.Body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return 0, bodyFailure(j.ctx, err)
	}
	if onBody != nil {
		onBody(body)
	}
	head := &message.ResponseHead{
		ID: j.req.ID, Status: r.Status, Headers: r.Headers, Length: r.Length,
		Complete: true, Body: body, Load: load,
	}
	return r.Length, send(j.callerCtx, j.peer, head)
}

// relay copies a target's answer to the link within the receiver's window and
// returns the number of body bytes sent. onBody, if not nil, receives each piece.
func relay(j *job, r *target.Response, onBody func([]byte)) (int64, *apierr.Error) {
	head := &message.ResponseHead{ID: j.req.ID, Status: r.Status, Headers: r.Headers, Length: r.Length}
	if err := send(j.callerCtx, j.peer, head); err != nil {
		return 0, err
	}
	var sent int64
	buf := make([]byte, maxChunk)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			if onBody != nil {
				onBody(buf[:n])
			}
			if e := sendData(j, buf[:n], sent); e != nil {
				return sent, e
			}
			sent += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return sent, nil
		}
		if err != nil {
			return sent, bodyFailure(j.ctx, err)
		}
	}
}

// sendData sends p, which starts at offset in the body, in pieces that fit the window.
func sendData(j *job, p []byte, offset int64) *apierr.Error {
	for len(p) > 0 {
		n, err := j.window.take(j.callerCtx, len(p))
		if err != nil {
			return bodyFailure(j.callerCtx, err)
		}
		data := &message.ResponseData{ID: j.req.ID, Offset: offset, Data: p[:n]}
		if e := send(j.callerCtx, j.peer, data); e != nil {
			return e
		}
		p = p[n:]
		offset += int64(n)
	}
	return nil
}

// send queues m on the link; it waits while the link's queue is full.
func send(ctx context.Context, p link.Peer, m message.Message) *apierr.Error {
	err := link.SendWait(ctx, p, m)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return bodyFailure(ctx, err)
	default:
		return apierr.Wrap(apierr.KindLinkLost, p.Identity().Name, err)
	}
}

// bodyFailure maps an error of reading or sending an answer's body to an apierr.Error.
func bodyFailure(ctx context.Context, err error) *apierr.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return apierr.Wrap(apierr.KindTimeout, "answer", err)
	case ctx.Err() != nil:
		return apierr.Wrap(apierr.KindCancelled, "answer", err)
	default:
		return apierr.Wrap(apierr.KindTruncated, "answer", err)
	}
}
