package mapper

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPackMapRoundTrip(t *testing.T) {
	rows := [][][]uint16{{{0, 300}, {1}}, {{2}, {3, 4, 65535}}}
	b := packMap(rows)
	decoded, err := unpackMap(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, rows)
	for cut := range len(b) {
		_, err := unpackMap(b[:cut])
		assert.ErrorIs(t, err, errMalformedMap, "cut at %d", cut)
	}
	_, err = unpackMap(append(b, 1))
	assert.ErrorIs(t, err, errMalformedMap)
}

func FuzzUnpackMap(f *testing.F) {
	f.Add(packMap([][][]uint16{{{0, 300}, {1}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if rows, err := unpackMap(b); err == nil {
			decoded, err := unpackMap(packMap(rows))
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded, rows)
		}
	})
}
