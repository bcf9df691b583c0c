package platform

import (
	"errors"

	"github.com/valyala/fasthttp"
)

// The paths and headers of the object API over HTTP.
const (
	PathObjects     = "/v1/objects/"
	PathList        = "/v1/list"
	PathWatch       = "/v1/watch"
	PathInstances   = "/v1/instances"
	HeaderVersion   = "X-Version"
	HeaderIfVersion = "If-Version"
)

// StatusOf returns the HTTP status with which the object API reports err.
func StatusOf(err error) int {
	switch {
	case err == nil:
		return fasthttp.StatusOK
	case errors.Is(err, ErrNotFound):
		return fasthttp.StatusNotFound
	case errors.Is(err, ErrConflict):
		return fasthttp.StatusConflict
	case errors.Is(err, ErrCompacted):
		return fasthttp.StatusGone
	case errors.Is(err, ErrTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// errorOf returns the error that status reports. For a status that the API does not
// define it returns errIfUnknown: ErrIndeterminate for writes, ErrUnavailable for reads.
func errorOf(status int, errIfUnknown error) error {
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return ErrNotFound
	case fasthttp.StatusConflict:
		return ErrConflict
	case fasthttp.StatusGone:
		return ErrCompacted
	case fasthttp.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case fasthttp.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return errIfUnknown
	}
}
