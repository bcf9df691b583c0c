package gateway

import (
	"fmt"
	"hash/maphash"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
)

// Guards against requests that share a fingerprint although they differ, for instance by where one
// field ends and the next one begins, and against repeats that don't.
func TestFingerprintIsThatOfTheRepeatsOnly(t *testing.T) {
	request := func(method, host, target, organisation, body string) *exchange {
		return &exchange{
			req:          &http1.Request{Method: method, Target: target, Header: http1.Header{{Name: "host", Value: host}}, Body: []byte(body)},
			organisation: &fleet.Organisation{Name: organisation},
		}
	}
	repeat := request("POST", "h", "/a?n=1", "org", "x")
	repeat.req.Header = append(repeat.req.Header, http1.Field{Name: "T-Id", Value: "other"})
	first := request("POST", "h", "/a?n=1", "org", "x").fingerprint()
	assert.Equal(t, repeat.fingerprint(), first)
	seen := map[string]bool{first: true}
	for _, x := range []*exchange{
		request("PUT", "h", "/a?n=1", "org", "x"), request("POST", "g", "/a?n=1", "org", "x"), request("POST", "h", "/a?n=2", "org", "x"),
		request("POST", "h", "/a?n=1", "other", "x"), request("POST", "h", "/a?n=1", "org", "y"), request("POST", "h", "/a?n=1o", "rg", "x"),
		request("POST", "h", "/a?n=1", "orgx", ""),
	} {
		assert.Check(t, !seen[x.fingerprint()], "%+v", x.req)
		seen[x.fingerprint()] = true
	}
}

// Guards against a part of a prompt that is given the fingerprint of another caller's request.
func TestPartCanNotBeTakenForARequest(t *testing.T) {
	assert.Assert(t, isPartID("5c1e07a2"))
	assert.Assert(t, !isPartID(quarantine.RequestPrefix+"0a1b"))
}

// BenchmarkIdentity compares what each answered request costs while nothing is suspected (keys) with
// what it costs while something is (fingerprint).
func BenchmarkIdentity(b *testing.B) {
	seed := maphash.MakeSeed()
	for _, size := range []int{1 << 10, 64 << 10, 4 << 20} {
		req := &http1.Request{Method: "POST", Target: "/safe/a", Header: http1.Header{{Name: "Host", Value: "h"}}, Body: make([]byte, size)}
		b.Run(fmt.Sprintf("keys-%d-bytes", size), func(b *testing.B) {
			for b.Loop() {
				x := exchange{req: req}
				x.localKeys(seed)
			}
		})
		b.Run(fmt.Sprintf("fingerprint-%d-bytes", size), func(b *testing.B) {
			for b.Loop() {
				x := exchange{req: req}
				x.fingerprint()
			}
		})
	}
}
