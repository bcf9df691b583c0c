package objectstore

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// maxWatchWait is the maximum duration of one long poll.
const maxWatchWait = 5 * time.Minute

// Handler serves m over HTTP: the object API under /v1/, the instances, faults and
// counters under /admin/.
//
//	GET|PUT|DELETE /v1/objects/KEY     X-Version in answers, If-Version in writes
//	GET            /v1/list?prefix=
//	GET            /v1/watch?prefix=&revision=&wait=   wait as a Go duration
//	GET            /v1/instances
//	PUT|DELETE     /admin/instances/NAME
//	GET|POST       /admin/faults       POST changes the given fields; "compact": true compacts
//	GET            /admin/counters
func Handler(m *Memory) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		switch {
		case strings.HasPrefix(path, platform.PathObjects):
			m.serveObject(ctx, path[len(platform.PathObjects):])
		case path == platform.PathList:
			result, err := m.List(ctx, string(ctx.QueryArgs().Peek("prefix")))
			reply(ctx, result, err)
		case path == platform.PathWatch:
			m.serveWatch(ctx)
		case path == platform.PathInstances:
			result, err := m.Instances(ctx)
			reply(ctx, result, err)
		case strings.HasPrefix(path, "/admin/"):
			m.serveAdmin(ctx, path[len("/admin/"):])
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

func (m *Memory) serveObject(ctx *fasthttp.RequestCtx, key string) {
	ifVersion := uint64(platform.AnyVersion)
	if header := ctx.Request.Header.Peek(platform.HeaderIfVersion); len(header) > 0 {
		parsed, err := strconv.ParseUint(string(header), 10, 64)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		ifVersion = parsed
	}
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		object, err := m.Get(ctx, key)
		if err == nil {
			ctx.Response.Header.Set(platform.HeaderVersion, strconv.FormatUint(object.Version, 10))
			ctx.SetBody(object.Value)
		}
		writeError(ctx, err)
	case fasthttp.MethodPut:
		version, err := m.Put(ctx, key, ctx.PostBody(), ifVersion)
		ctx.Response.Header.Set(platform.HeaderVersion, strconv.FormatUint(version, 10))
		writeError(ctx, err)
	case fasthttp.MethodDelete:
		writeError(ctx, m.Delete(ctx, key, ifVersion))
	default:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

func (m *Memory) serveWatch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	revision, err := strconv.ParseUint(string(args.Peek("revision")), 10, 64)
	wait, waitErr := time.ParseDuration(string(args.Peek("wait")))
	if errors.Join(err, waitErr) != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	result, err := m.Watch(ctx, string(args.Peek("prefix")), revision, min(wait, maxWatchWait))
	reply(ctx, result, err)
}

func (m *Memory) serveAdmin(ctx *fasthttp.RequestCtx, path string) {
	name, isInstance := strings.CutPrefix(path, "instances/")
	switch {
	case isInstance && ctx.IsDelete():
		m.RemoveInstance(name)
	case isInstance:
		m.serveSetInstance(ctx, name)
	case path == "faults" && ctx.IsPost():
		m.serveSetFaults(ctx)
	case path == "faults":
		m.mu.Lock()
		faults := m.faults
		m.mu.Unlock()
		reply(ctx, faults, nil)
	case path == "counters":
		reply(ctx, m.Counters(), nil)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (m *Memory) serveSetInstance(ctx *fasthttp.RequestCtx, name string) {
	var i platform.Instance
	if err := json.Unmarshal(ctx.PostBody(), &i); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	i.Name = name
	m.SetInstance(i)
}

func (m *Memory) serveSetFaults(ctx *fasthttp.RequestCtx) {
	var action struct {
		Compact bool `json:"compact"`
	}
	body := ctx.PostBody()
	m.mu.Lock()
	defer m.mu.Unlock()
	faults := m.faults
	if err := errors.Join(json.Unmarshal(body, &faults), json.Unmarshal(body, &action)); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	m.faults = faults
	if action.Compact {
		m.compactLocked()
	}
}

// reply answers with v as JSON, or with the status of err.
func reply(ctx *fasthttp.RequestCtx, v any, err error) {
	if err != nil {
		writeError(ctx, err)
		return
	}
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// writeError answers with the status of err. If the outcome of the call is unknown, it
// closes the connection without an answer. It does nothing if err is nil.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrIndeterminate):
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	default:
		ctx.SetStatusCode(platform.StatusOf(err))
	}
}
