package claims

import "time"

// never is a time after every deadline.
const never = time.Duration(1<<63 - 1)

// advance starts the next store call if none is in flight and one is due.
func (p *Partition) advance() {
	if p.phase != phaseIdle {
		return
	}
	p.resolve()
	if p.broken != "" || p.now < p.retryAt {
		return
	}
	switch {
	case p.loading != nil:
		p.readSegment()
	case p.needsRead():
		p.readHead()
	case p.writeDueAt() <= p.now:
		p.writeOrSeal()
	case len(p.summaries) > 0:
		p.writeSummary()
	case len(p.deletes) > 0:
		p.startCall(phaseDelete, StoreEffect{Method: MethodDelete, Key: p.deletes[0]})
	}
}

// needsRead reports whether a waiting claim or an outcome needs a newer view of the log.
func (p *Partition) needsRead() bool {
	if p.log.stale {
		return p.Unsettled() > 0
	}
	for _, q := range p.queue {
		if !q.abandoned && p.classify(q) == verdictRefresh {
			return true
		}
	}
	return false
}

// writeDueAt returns the time at which the next head write is due, or never if there
// is nothing to write.
func (p *Partition) writeDueAt() time.Duration {
	due := never
	for _, q := range p.queue {
		if q.indeterminate {
			due = min(due, p.now)
		} else if !q.abandoned {
			due = min(due, q.arrived+p.cfg.BatchDelay)
		}
	}
	for i := range p.outcomes {
		due = min(due, p.outcomes[i].dueAt(p.cfg))
	}
	if due == never {
		return never
	}
	return max(due, p.bucket.readyAt(p.now, p.cfg))
}

// NextWake returns the time at which the partition next needs a TickEvent, and false
// if it needs none.
func (p *Partition) NextWake() (time.Duration, bool) {
	wake := never
	for _, q := range p.queue {
		if !q.abandoned {
			wake = min(wake, q.deadline)
		}
	}
	if p.phase == phaseIdle && p.broken == "" {
		wake = min(wake, p.nextCall())
	}
	return wake, wake != never
}

// nextCall returns the time at which the next store call is due while none is in
// flight, or never if there is nothing to do.
func (p *Partition) nextCall() time.Duration {
	due := p.writeDueAt()
	if p.loading != nil || p.needsRead() || len(p.summaries)+len(p.deletes) > 0 {
		due = p.now
	}
	if due == never {
		return never
	}
	return max(due, p.retryAt)
}

// startCall starts a store call.
func (p *Partition) startCall(ph phase, e StoreEffect) {
	p.phase, p.sentAt = ph, p.now
	p.effects = append(p.effects, e)
}

// onStore handles the outcome of the call in flight.
func (p *Partition) onStore(e StoreEvent) {
	ph := p.phase
	p.phase = phaseIdle
	switch ph {
	case phaseReadHead:
		p.onHead(e)
	case phaseReadSegment:
		p.onSegment(e)
	case phaseReadSummary:
		p.onReadSummary(e)
	case phaseSummary:
		p.summaries = p.summaries[1:]
	case phaseSeal:
		p.onSeal(e.Err)
	case phaseReadSeal:
		p.onReadSeal(e)
	case phaseWrite:
		p.onWrite(e)
	case phaseDelete:
		p.deletes = p.deletes[1:]
	case phaseIdle:
	}
}

// bucket is the token bucket of a partition's head writes.
type bucket struct {
	tokens float64
	last   time.Duration
}

func (b *bucket) refill(now time.Duration, cfg Config) {
	b.tokens = min(cfg.WriteBurst, b.tokens+(now-b.last).Seconds()*cfg.WriteRate)
	b.last = now
}

// readyAt returns the time at which the next token is available.
func (b *bucket) readyAt(now time.Duration, cfg Config) time.Duration {
	b.refill(now, cfg)
	if b.tokens >= 1 {
		return now
	}
	missing := time.Duration((1 - b.tokens) / cfg.WriteRate * float64(time.Second))
	return now + missing + time.Microsecond
}
