// Package httpclient makes the clients of package fasthttp read answers with package http1, which
// refuses those that two implementations could read differently.
package httpclient

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/http1"
)

// Transport makes calls on the connections of a client, whose MaxResponseBodySize must be set. It never
// repeats a call.
type Transport struct{}

var _ fasthttp.RoundTripper = Transport{}

// RoundTrip implements fasthttp.RoundTripper.
func (Transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	var deadline time.Time
	if timeout := req.GetTimeOut(); timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	cc, err := hc.AcquireConn(req.GetTimeOut(), req.ConnectionClose())
	if err != nil {
		return false, err
	}
	reusable, err := exchange(hc, cc.Conn(), deadline, req, resp)
	if reusable {
		hc.ReleaseConn(cc)
	} else {
		hc.CloseConn(cc)
	}
	return false, clientError(err)
}

// clientError returns the error with which package fasthttp reports the cause.
func clientError(err error) error {
	var timeout net.Error
	var size *http1.TooLargeError
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.ErrTimeout
	case errors.As(err, &size) && size.Part == http1.PartBody:
		return fasthttp.ErrBodyTooLarge
	default:
		return err
	}
}

// exchange sends a request and reads its answer. It reports whether the connection may be used again.
func exchange(hc *fasthttp.HostClient, conn net.Conn, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	if err := writeRequest(hc, conn, req); err != nil {
		return false, err
	}
	br := hc.AcquireReader(conn)
	defer hc.ReleaseReader(br)
	answer, err := http1.ReadResponse(br, string(req.Header.Method()))
	if err != nil {
		return false, err
	}
	body, err := answer.ReadBody(hc.MaxResponseBodySize)
	if err != nil {
		return false, err
	}
	resp.Reset()
	resp.SetStatusCode(answer.Status)
	for _, f := range answer.Header {
		if !http1.HopByHop(f.Name) {
			resp.Header.Add(f.Name, f.Value)
		}
	}
	resp.SetBodyRaw(body)
	return answer.KeepAlive && !req.ConnectionClose() && br.Buffered() == 0, nil
}

func writeRequest(hc *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request) error {
	bw := hc.AcquireWriter(conn)
	defer hc.ReleaseWriter(bw)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}
