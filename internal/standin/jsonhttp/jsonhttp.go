// Package jsonhttp reads and writes the JSON bodies of the stand-ins.
package jsonhttp

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Write answers with v as JSON.
func Write(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(v)
}

// Read decodes the request's body into v. On failure it answers 400 and returns false.
func Read(ctx *fasthttp.RequestCtx, v any) bool {
	err := json.Unmarshal(ctx.PostBody(), v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
	return err == nil
}

// EchoRequestID returns the id of the request in the answer.
func EchoRequestID(ctx *fasthttp.RequestCtx) {
	const header = "Gentiantrail-Request-Id"
	if id := ctx.Request.Header.Peek(header); len(id) > 0 {
		ctx.Response.Header.SetBytesV(header, id)
	}
}
