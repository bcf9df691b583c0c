package mapper

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

// saveInterval is the least time between two writes of the demand to the store.
const saveInterval = 5 * time.Second

// savedDemand is the demand in its stored form, as quantise encodes it.
type savedDemand struct {
	Load []byte  `cbor:"1,keyasint"`
	Max  float64 `cbor:"2,keyasint"`
}

// saveDemand stores the demand for the next time that the group forms.
func (m *Mapper) saveDemand(ctx context.Context, demand rebalance.Popularity) {
	m.lastPlannedDemand = demand.Load
	if time.Since(m.savedAt) < saveInterval {
		return
	}
	m.savedAt = time.Now()
	counts := make([]int64, len(demand.Load))
	for i, v := range demand.Load {
		counts[i] = int64(v)
	}
	load, largest := quantise(counts)
	b, err := cbor.Marshal(savedDemand{Load: load, Max: largest})
	if err != nil {
		m.opts.Logger.Error().Str("event", "encode").Err(err).Msg("")
		return
	}
	group := m.local.Group
	go func() {
		if err := m.opts.DemandStore.SaveDemand(ctx, group, b); err != nil {
			m.opts.Logger.Info().Str("event", "demand-not-saved").Err(err).Msg("")
		}
	}()
}

// loadDemand reads the demand that an earlier process stored.
func (m *Mapper) loadDemand(ctx context.Context) {
	group := m.local.Group
	go func() {
		b, err := m.opts.DemandStore.LoadDemand(ctx, group)
		var saved savedDemand
		if err == nil && len(b) > 0 {
			err = cbor.Unmarshal(b, &saved)
		}
		if err != nil {
			m.opts.Logger.Info().Str("event", "demand-not-recalled").Err(err).Msg("")
			return
		}
		m.post(ctx, func(_ context.Context, m *Mapper) {
			if m.lastPlannedDemand == nil && len(saved.Load) > 0 {
				m.lastPlannedDemand = dequantise(saved.Load, saved.Max)
			}
		})
	}()
}
