package group

import (
	"context"
	"strconv"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/expertmap"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Settings of the group's coordinator; see expertmap.Config.
const (
	switchLead    = 64 // steps
	resendAfter   = 200 * time.Millisecond
	pollInterval  = 10 * time.Second
	changeTimeout = 2 * time.Second
)

// checkLease starts the coordinator when the lease is acquired and stops it when
// the lease is lost.
func (d *Driver) checkLease(ctx context.Context) {
	fence, held := d.keeper.Valid()
	switch {
	case d.coordinator != nil && (!held || fence != d.fence):
		d.stepCoordinator(ctx, expertmap.LeaseLost{})
		d.coordinator = nil
		d.logEvent("coordinator-ended").Uint64("fence", d.fence).Msg("")
	case d.coordinator == nil && held && fence != d.fence:
		d.startCoordinator(ctx, fence)
	}
}

func (d *Driver) startCoordinator(ctx context.Context, fence uint64) {
	d.fence = fence
	initial, err := initialMap(d.cfg.Shape)
	if err != nil {
		d.logEvent("no-initial-map").Str("detail", err.Error()).Msg("")
		return
	}
	d.logEvent("coordinator-began").Uint64("fence", fence).Msg("")
	c, effects := expertmap.NewCoordinator(expertmap.Config{
		Group: d.opts.Group, Ranks: d.cfg.Shape.Ranks, Initial: initial, SwitchLead: switchLead,
		Resend: resendAfter, Poll: pollInterval, ChangeTimeout: changeTimeout,
	}, fence, d.now())
	d.coordinator = c
	d.applyCoordinatorEffects(ctx, effects)
}

// stepCoordinator passes an event to the coordinator and carries out the resulting
// effects.
func (d *Driver) stepCoordinator(ctx context.Context, ev expertmap.CoordinatorEvent) {
	d.applyCoordinatorEffects(ctx, d.coordinator.Step(d.now(), ev))
	if d.coordinator.Phase() == expertmap.PhaseStopped {
		d.coordinator = nil
	}
}

func (d *Driver) applyCoordinatorEffects(ctx context.Context, effects []expertmap.CoordinatorEffect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case expertmap.Send:
			d.sendToRank(ctx, e)
		case expertmap.ChangeEnded:
			d.logEvent("map-changed").Uint64("version", e.Version).
				Str("committed", strconv.FormatBool(e.Committed)).Msg("")
		}
	}
}

// sendToRank sends a message to a rank's agent. It checks immediately before
// sending that the lease is still valid, and drops the message otherwise.
func (d *Driver) sendToRank(ctx context.Context, s expertmap.Send) {
	if fence, held := d.keeper.Valid(); !held || fence != d.fence {
		return
	}
	if s.Rank == d.opts.Rank {
		d.handleMessage(ctx, d.opts.Identity.Name, s.Message)
		return
	}
	m, known := d.members[s.Rank]
	if !known {
		return
	}
	if p := d.peers[m.Name]; p != nil {
		_ = p.Send(s.Message)
	}
}

// respond sends this rank's answer to the coordinator named to.
func (d *Driver) respond(ctx context.Context, to string, m message.Message) {
	if to == d.opts.Identity.Name {
		d.handleMessage(ctx, to, m)
		return
	}
	if p := d.peers[to]; p != nil {
		_ = p.Send(m)
	}
}
