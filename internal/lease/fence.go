package lease

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// ReadFence returns the highest fence of the lease under key, or zero if the lease was
// never held.
func ReadFence(ctx context.Context, store platform.Store, key string) (uint64, error) {
	obj, err := store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var o object
	if err := cbor.Unmarshal(obj.Value, &o); err != nil {
		return 0, err
	}
	return o.Fence, nil
}
