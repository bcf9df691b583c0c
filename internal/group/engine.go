package group

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/expertmap"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
	"github.com/gentiantrail/gentiantrail/internal/target"
)

// Engine is the interface to one rank's engine.
type Engine interface {
	// State returns the time since the engine's start and the engine's expert-map state.
	State(ctx context.Context) (age time.Duration, state expertmap.EngineState, err error)
	// Order carries out an order. After an error, it is unknown whether the order was
	// carried out.
	Order(ctx context.Context, o expertmap.Order) (expertmap.Reply, error)
	// Popularity returns the group's load of each expert. The figures are delayed.
	Popularity(ctx context.Context) (rebalance.Popularity, error)
	// Load loads the weights of a map into memory. The Driver limits the rate of calls.
	Load(ctx context.Context, l expertmap.Load) error
}

// Paths of the engine's HTTP interface.
const (
	PathState = "/rank/state"
	PathOrder = "/rank/order"
	PathLoad  = "/rank/load"
	// PathPopularity is the path of the sum of the loads of all ranks, which the
	// engines exchange with each other.
	PathPopularity = "/rank/popularity"
)

const (
	// callTimeout limits the duration of every call except Load.
	callTimeout = 2 * time.Second
	// loadTimeout limits the time for loading a map's weights.
	loadTimeout = 10 * time.Minute
	// maxEngineAnswer is the largest size of an engine's answer in bytes; the rest is cut off.
	maxEngineAnswer = 8 << 20
)

// StateAnswer is the body of the answer to PathState.
type StateAnswer struct {
	AgeMillis int64                 `json:"age_ms"`
	State     expertmap.EngineState `json:"state"`
}

// HTTPEngine implements Engine over HTTP.
type HTTPEngine struct{ client *target.Client }

// NewHTTPEngine returns an HTTPEngine for the engine at addr.
func NewHTTPEngine(addr string) *HTTPEngine { return &HTTPEngine{client: target.New(addr)} }

// State implements Engine.
func (e *HTTPEngine) State(ctx context.Context) (time.Duration, expertmap.EngineState, error) {
	var answer StateAnswer
	err := e.call(ctx, http.MethodGet, PathState, nil, &answer, callTimeout)
	return time.Duration(answer.AgeMillis) * time.Millisecond, answer.State, err
}

// Order implements Engine.
func (e *HTTPEngine) Order(ctx context.Context, o expertmap.Order) (expertmap.Reply, error) {
	var reply expertmap.Reply
	err := e.call(ctx, http.MethodPost, PathOrder, o, &reply, callTimeout)
	return reply, err
}

// Popularity implements Engine.
func (e *HTTPEngine) Popularity(ctx context.Context) (rebalance.Popularity, error) {
	var p rebalance.Popularity
	err := e.call(ctx, http.MethodGet, PathPopularity, nil, &p, callTimeout)
	return p, err
}

// Load implements Engine.
func (e *HTTPEngine) Load(ctx context.Context, l expertmap.Load) error {
	return e.call(ctx, http.MethodPost, PathLoad, l, nil, loadTimeout)
}

func (e *HTTPEngine) call(ctx context.Context, method, path string, in, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := &message.Request{Method: method, Path: path}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return err
		}
		req.Body = body
	}
	resp, failure := e.client.Do(ctx, req)
	if failure != nil {
		return failure
	}
	defer resp.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEngineAnswer))
	if err != nil {
		return apierr.Wrap(apierr.KindTruncated, path, err)
	}
	if resp.Status != http.StatusOK {
		return apierr.New(apierr.KindTargetFailed, path+": "+http.StatusText(resp.Status))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(body, out)
}
