package gateway

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

// storeEvent is an event of the store's follower.
type storeEvent fleet.Event

func (e storeEvent) apply(c *control) {
	now := c.g.now()
	if e.Err != nil {
		c.recordFailedCall(fleet.Event(e))
		return
	}
	c.recordStoreRecovery(e.Topic)
	if e.Regained {
		return
	}
	c.lastAnswers[e.Topic] = now
	c.recordEra(fleet.Event(e))
	c.logRead(fleet.Event(e))
	var decisions []fleet.Decision
	if e.Complete {
		decisions = c.registry.ApplyList(now, e.Topic, e.Batch)
	} else {
		decisions = c.registry.ApplyChanges(now, e.Topic, e.Batch)
	}
	if e.Batch.Undecodable > 0 {
		c.g.opts.Logger.Warn().Str("event", "store-objects-refused").Str("topic", e.Topic.String()).Int("count", e.Batch.Undecodable).Msg("")
	}
	if e.Topic == fleet.TopicGateways && e.Complete {
		c.addMembers(now)
	}
	c.logDecisions(decisions, e.Batch.Position, e.RelayedBy)
	if len(decisions) > 0 || e.Complete {
		c.publish()
		c.expire()
	}
}

// addMembers tells the balancer which gateways the store lists.
func (c *control) addMembers(now time.Duration) {
	var names []string
	for _, g := range c.registry.View().Gateways {
		names = append(names, g.Name)
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.g.balancer.AddMembers(now, names)
}

// expire applies the changes of the registry that are due and schedules the next one.
func (c *control) expire() {
	now := c.g.now()
	due, decisions := c.registry.Expire(now)
	if len(decisions) > 0 {
		c.logDecisions(decisions, fleet.Position{}, "")
		c.publish()
	}
	if due > 0 {
		c.expiry.Reset(due - now)
	}
}

// storeLoss describes a series of failed calls of one topic to the store.
type storeLoss struct {
	// firstFailure and lastFailure are the times at which the first and the last call failed.
	firstFailure, lastFailure time.Duration
	failedCalls               int
}

// recordFailedCall records a failed call to the store. Of a series of failures only the
// first is logged.
func (c *control) recordFailedCall(e fleet.Event) {
	if e.WatchClosed {
		c.g.opts.Logger.Info().Str("event", "watch-closed").Str("topic", e.Topic.String()).
			Int64("open_ms", e.Took.Milliseconds()).Err(e.Err).Msg("")
		return
	}
	now := c.g.now()
	c.g.count.storeFailures.Inc(1)
	c.registry.RecordStoreFailure(now - e.Took)
	loss := c.storeLost[e.Topic]
	if loss == nil {
		loss = &storeLoss{firstFailure: now}
		c.storeLost[e.Topic] = loss
		c.g.opts.Logger.Warn().Str("event", "store-lost").Str("topic", e.Topic.String()).Err(e.Err).Msg("")
	}
	loss.lastFailure = now
	loss.failedCalls++
}

// recordStoreRecovery logs the first answered call after a series of failures.
func (c *control) recordStoreRecovery(topic fleet.Topic) {
	loss := c.storeLost[topic]
	if loss == nil {
		return
	}
	delete(c.storeLost, topic)
	now := c.g.now()
	line := c.g.opts.Logger.Info().Str("event", "store-regained").Str("topic", topic.String()).
		Int64("lost_ms", (now-loss.firstFailure).Milliseconds()).Int("failed_calls", loss.failedCalls).
		Int64("last_failure_ms_ago", (now - loss.lastFailure).Milliseconds())
	for t := range fleet.TopicGateways {
		line = line.Int64(t.String()+"_read_ms_ago", (now - c.lastAnswers[t]).Milliseconds())
	}
	line.Msg("")
}

// reportReadAges sets the gauges of the time since the store has last answered a list or a
// watch of each topic.
func (c *control) reportReadAges() {
	now := c.g.now()
	for t := range fleet.TopicGateways {
		c.g.count.readAges[t].Update((now - c.lastAnswers[t]).Seconds())
	}
}

// recordEra logs the first answer after a restore of the store.
func (c *control) recordEra(e fleet.Event) {
	if era := e.Batch.Position.Era; era > c.storeEra {
		c.g.opts.Logger.Warn().Str("event", "store-restored").Str("topic", e.Topic.String()).
			Int64("era", era).Int64("era_before", c.storeEra).Msg("")
		c.storeEra = era
	}
}

// logRead logs a list, or the answer to the first watch after a closed one. Together with
// the positions in the belief lines it shows which changes a gateway can't have seen.
func (c *control) logRead(e fleet.Event) {
	if !e.Complete && !e.Resumed {
		return
	}
	line := c.g.opts.Logger.Info().Str("event", "store-read").Str("topic", e.Topic.String()).Bool("list", e.Complete)
	if e.Resumed {
		line = line.Stringer("after", e.After)
	}
	line.Stringer("position", e.Batch.Position).Int("objects", len(e.Batch.Changes)).Msg("")
}

func (c *control) logDecisions(decisions []fleet.Decision, position fleet.Position, relayedBy string) {
	for _, d := range decisions {
		line := c.g.opts.Logger.Info().Str("event", "belief").Str("topic", d.Topic.String()).
			Str("subject", d.Subject).Str("outcome", d.Outcome).Stringer("position", position)
		if d.Topic == fleet.TopicConfig {
			line = line.Int64("version", c.registry.View().Config.Version)
		}
		if relayedBy != "" {
			line = line.Str("relayed_by", relayedBy)
		}
		if d.Keep > 0 {
			line = line.Int64("keep_ms", d.Keep.Milliseconds())
		}
		line.Msg("")
	}
}
