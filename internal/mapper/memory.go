package mapper

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

// saveInterval is the least time between two writes of the demand to the store.
const saveInterval = 5 * time.Second

// memo is the demand as it is kept in the store.
type memo struct {
	Load []byte  `cbor:"1,keyasint"`
	Most float64 `cbor:"2,keyasint"`
}

// remember keeps the demand for a time when the group forms anew.
func (m *Mapper) remember(ctx context.Context, demand rebalance.Popularity) {
	m.remembered = demand.Load
	if time.Since(m.savedAt) < saveInterval {
		return
	}
	m.savedAt = time.Now()
	counts := make([]int64, len(demand.Load))
	for i, v := range demand.Load {
		counts[i] = int64(v)
	}
	load, most := quantise(counts)
	b, err := cbor.Marshal(memo{Load: load, Most: most})
	if err != nil {
		m.opts.Logger.Error().Str("event", "encode").Err(err).Msg("")
		return
	}
	group := m.own.Group
	go func() {
		if err := m.opts.Memory.Remember(ctx, group, b); err != nil {
			m.opts.Logger.Info().Str("event", "demand-not-saved").Err(err).Msg("")
		}
	}()
}

// recall reads the demand that an earlier process saved.
func (m *Mapper) recall(ctx context.Context) {
	group := m.own.Group
	go func() {
		b, err := m.opts.Memory.Recall(ctx, group)
		var kept memo
		if err == nil && len(b) > 0 {
			err = cbor.Unmarshal(b, &kept)
		}
		if err != nil {
			m.opts.Logger.Info().Str("event", "demand-not-recalled").Err(err).Msg("")
			return
		}
		m.post(ctx, func(_ context.Context, m *Mapper) {
			if m.remembered == nil && len(kept.Load) > 0 {
				m.remembered = restore(kept.Load, kept.Most)
			}
		})
	}()
}
