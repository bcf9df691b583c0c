package mapper

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMapsSurvivePacking(t *testing.T) {
	rows := [][][]uint16{{{0, 300}, {1}}, {{2}, {3, 4, 65535}}}
	b := packMap(rows)
	again, err := unpackMap(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, rows)
	for cut := range len(b) {
		_, err := unpackMap(b[:cut])
		assert.ErrorIs(t, err, errMap, "cut at %d", cut)
	}
	_, err = unpackMap(append(b, 1))
	assert.ErrorIs(t, err, errMap)
}

func FuzzUnpackMap(f *testing.F) {
	f.Add(packMap([][][]uint16{{{0, 300}, {1}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if rows, err := unpackMap(b); err == nil {
			again, err := unpackMap(packMap(rows))
			assert.NilError(t, err)
			assert.DeepEqual(t, again, rows)
		}
	})
}
