package http1

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// readPieces reads the requests in raw, which arrives in pieces whose sizes are the bytes of cuts
// in turn, and describes them and the error that ends them.
func readPieces(raw, cuts []byte) []string {
	var seen []string
	var r RequestReader
	for i := 0; len(raw) > 0; i++ {
		size := len(raw)
		if len(cuts) > 0 {
			size = min(size, 1+int(cuts[i%len(cuts)]))
		}
		piece := raw[:size]
		raw = raw[size:]
		for len(piece) > 0 {
			n, err := r.Read(piece, limits)
			if err != nil {
				return append(seen, err.Error())
			}
			if done := r.Complete(); done != nil {
				seen = append(seen, string(AppendRequest(nil, done)))
				r = RequestReader{}
			}
			piece = piece[n:]
		}
	}
	return seen
}

// FuzzPieces guards against a request that is read differently if its bytes arrive in pieces.
func FuzzPieces(f *testing.F) {
	const chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nA: b\r\n\r\n"
	f.Add([]byte(chunked+"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"), []byte{0})
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcdeGET"), []byte{2, 0})
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"+chunked), []byte{3})
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 2000)), []byte{200})
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n"), []byte{0})
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;"+strings.Repeat("x", 300)), []byte{9})
	f.Fuzz(func(t *testing.T, raw, cuts []byte) {
		assert.DeepEqual(t, readPieces(raw, cuts), readPieces(raw, nil))
	})
}

// Guards against requests of a legal size whose fields take far more memory than their bytes.
func TestTooManyFieldsAreRejected(t *testing.T) {
	large := Limits{Header: 1 << 20, Body: 64}
	const chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
	for name, tc := range map[string]struct {
		head string
		most int
	}{
		"header": {"GET / HTTP/1.1\r\nHost: h\r\n", maxRequestFields - 1}, "trailer": {chunked, maxTrailerFields},
	} {
		_, n, err := ParseRequest([]byte(tc.head+strings.Repeat("a:\r\n", tc.most)+"\r\n"), large)
		assert.NilError(t, err, name)
		assert.Assert(t, n > 0, name)
		_, _, err = ParseRequest([]byte(tc.head+strings.Repeat("a:\r\n", tc.most+1)+"\r\n"), large)
		var tooLarge *TooLargeError
		assert.Assert(t, errors.As(err, &tooLarge) && tooLarge.Part == PartHeader, "%s: %v", name, err)
	}
}

// Guards against trailer lines that are refused although the trailer is no larger than a head may be.
func TestTrailerLineHasTheLimitOfTheHead(t *testing.T) {
	l := Limits{Header: 1000, Body: 64}
	const chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
	_, n, err := ParseRequest([]byte(chunked+"a:"+strings.Repeat("x", l.Header-2)+"\r\n\r\n"), l)
	assert.NilError(t, err)
	assert.Assert(t, n > 0)
	for _, excess := range []int{1, 100} {
		_, _, err = ParseRequest([]byte(chunked+"a:"+strings.Repeat("x", l.Header-2+excess)+"\r\n\r\n"), l)
		var tooLarge *TooLargeError
		assert.Assert(t, errors.As(err, &tooLarge) && tooLarge.Part == PartHeader, "%v", err)
	}
}

// Guards against a body that is read anew with each of its pieces: the memory that is allocated
// for a body of single bytes stays within a small multiple of its size.
func TestCostOfSmallPieces(t *testing.T) {
	const size = 1 << 20
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			var r RequestReader
			all := Limits{Header: 1024, Body: size}
			_, err := r.Read([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n"), all)
			assert.NilError(b, err)
			for range size {
				_, err := r.Read([]byte("x"), all)
				assert.NilError(b, err)
			}
			assert.Assert(b, r.Complete() != nil)
		}
	})
	assert.Assert(t, result.AllocedBytesPerOp() < 4*size, "%d bytes", result.AllocedBytesPerOp())
}

func BenchmarkReadRequest(b *testing.B) {
	ordinary := "POST /v1/complete HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nAccept: */*\r\n" +
		"Content-Type: application/json\r\nContent-Length: 800\r\n\r\n" + strings.Repeat("x", 800)
	long := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n" + strings.Repeat("x", 1<<20)
	for name, text := range map[string]string{"ordinary": ordinary, "1MiB": long} {
		b.Run(name, func(b *testing.B) {
			raw := []byte(text)
			b.SetBytes(int64(len(raw)))
			for range b.N {
				_, n, err := ParseRequest(raw, Limits{Header: 16 << 10, Body: 4 << 20})
				assert.NilError(b, err)
				assert.Equal(b, n, len(raw))
			}
		})
	}
}
