package platform_test

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
)

// serve serves m on a loopback port until the test ends and returns a client of it.
func serve(t *testing.T, m *objectstore.Memory) *platform.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: objectstore.Handler(m), Logger: discardLogger{}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return platform.NewClient(listener.Addr().String(), platform.Options{Rate: 10000, Burst: 10000})
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func TestClientRoundTrip(t *testing.T) {
	m := objectstore.New()
	c, ctx := serve(t, m), context.Background()

	_, err := c.Get(ctx, "a/b c?d")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	v1, err := c.Put(ctx, "a/b c?d", []byte("one"), 0)
	assert.NilError(t, err)
	_, err = c.Put(ctx, "a/b c?d", []byte("two"), 0)
	assert.ErrorIs(t, err, platform.ErrConflict)
	v2, err := c.Put(ctx, "a/b c?d", []byte("two"), v1)
	assert.NilError(t, err)
	object, err := c.Get(ctx, "a/b c?d")
	assert.NilError(t, err)
	assert.DeepEqual(t, object, platform.Object{Key: "a/b c?d", Value: []byte("two"), Version: v2})
	_, err = c.Put(ctx, "big", bytes.Repeat([]byte("x"), platform.MaxValueSize), platform.AnyVersion)
	assert.NilError(t, err)
	_, err = c.Put(ctx, "big", bytes.Repeat([]byte("x"), platform.MaxValueSize+1), platform.AnyVersion)
	assert.ErrorIs(t, err, platform.ErrTooLarge)

	list, err := c.List(ctx, "a/")
	assert.NilError(t, err)
	assert.Equal(t, len(list.Objects), 1)
	assert.ErrorIs(t, c.Delete(ctx, "a/b c?d", v1), platform.ErrConflict)
	assert.NilError(t, c.Delete(ctx, "a/b c?d", v2))
	watched, err := c.Watch(ctx, "a/", v2, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, len(watched.Events) == 1 && watched.Events[0].Deleted)
	m.Compact()
	_, err = c.Watch(ctx, "a/", v1, time.Second)
	assert.ErrorIs(t, err, platform.ErrCompacted)

	m.SetInstance(platform.Instance{Name: "i1", State: platform.InstanceLive})
	list2, err := c.Instances(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list2), 1)
	m.ChangeFaults(func(f *objectstore.Faults) { f.InstanceLagMS = 3600_000 })
	list2, err = c.Instances(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list2), 0)
	assert.Equal(t, c.Counters().Watch, m.Counters().Watch)
}

// TestClientNeverRetriesAWrite makes writes that get no response. Each must reach the
// store exactly once, and its outcome must be reported as indeterminate.
func TestClientNeverRetriesAWrite(t *testing.T) {
	m := objectstore.New()
	c, ctx := serve(t, m), context.Background()
	for i, faults := range []objectstore.Faults{{LoseNext: 1}, {DropNext: 1}} {
		m.SetFaults(faults)
		before := m.Counters().Put
		_, err := c.Put(ctx, "k", []byte{byte(i)}, platform.AnyVersion)
		assert.ErrorIs(t, err, platform.ErrIndeterminate)
		assert.Equal(t, m.Counters().Put, before+1)
	}
	m.SetFaults(objectstore.Faults{Down: true})
	_, err := c.Put(ctx, "k", nil, 0)
	assert.ErrorIs(t, err, platform.ErrUnavailable)

	m.SetFaults(objectstore.Faults{LatencyMS: 2000})
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = c.Put(short, "k", nil, 0)
	assert.ErrorIs(t, err, platform.ErrIndeterminate)
	_, err = c.Get(short, "k")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}

func TestClientConnectionFailures(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := listener.Addr().String()
	var accepted atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_, _ = conn.Read(make([]byte, 64))
			_ = conn.Close()
		}
	}()
	c := platform.NewClient(addr, platform.Options{})
	_, err = c.Put(context.Background(), "k", []byte("v"), 0)
	assert.ErrorIs(t, err, platform.ErrIndeterminate)
	_, err = c.Get(context.Background(), "k")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Equal(t, accepted.Load(), int32(2))

	assert.NilError(t, listener.Close())
	_, err = c.Put(context.Background(), "k", []byte("v"), 0)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}

func TestClientBudget(t *testing.T) {
	m := objectstore.New()
	base := serve(t, m)
	c := platform.NewClient(base.Addr(), platform.Options{Rate: 0.001, Burst: 2})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range 2 {
		_, err := c.Put(ctx, "k", nil, platform.AnyVersion)
		assert.NilError(t, err)
	}
	_, err := c.Put(ctx, "k", nil, platform.AnyVersion)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Equal(t, c.Counters().OverBudget, uint64(1))
	assert.Equal(t, m.Counters().Put, uint64(2))
}
