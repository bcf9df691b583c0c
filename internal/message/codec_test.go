package message

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

func TestRequestEncodingRoundTrip(t *testing.T) {
	want := &Request{ID: 7, RequestID: "t", Service: "s", Body: []byte("b"), Timeout: time.Second, Headers: []Header{{"A", "1"}}}
	frame, err := Encode(want)
	assert.NilError(t, err)
	got, err := Decode(frame)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

func TestEveryTypeHasABodyOfThatType(t *testing.T) {
	for typ := TypeHello; typ <= TypeMapPreloaded; typ++ {
		m := newMessage(typ)
		assert.Assert(t, m != nil, "type %d", typ)
		assert.Equal(t, m.FrameType(), typ)
	}
}

func TestBadFramesAreRefused(t *testing.T) {
	for name, frame := range map[string][]byte{
		"empty":        {},
		"version":      {Version + 1, byte(TypeHello), 0xa0},
		"unknown type": {Version, 250, 0xa0},
		"truncated":    {Version, byte(TypeHello), 0xa1},
		"oversize":     make([]byte, MaxFrameSize+1),
	} {
		_, err := Decode(frame)
		var e *apierr.Error
		assert.Assert(t, errors.As(err, &e), name)
		assert.Equal(t, e.Kind, apierr.KindBadFrame, name)
	}
}

func TestDecodeNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "frame")
		if len(frame) > 1 {
			frame[0] = Version
			frame[1] = byte(rapid.IntRange(0, int(TypeMapPreloaded)+1).Draw(t, "type"))
		}
		_, _ = Decode(frame)
	})
}
