package message

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// Version is the protocol version byte of every frame.
const Version = 1

// headerSize is the number of bytes before the CBOR body.
const headerSize = 2

// MaxFrameSize is the maximum size of a frame in bytes; the entry refuses larger requests.
const MaxFrameSize = 8 << 20

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 10,
		MaxNestedLevels:  8,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the frame of m.
func Encode(m Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, apierr.Wrap(apierr.KindInternal, "encode frame", err)
	}
	frame := make([]byte, headerSize, headerSize+len(body))
	frame[0] = Version
	frame[1] = byte(m.FrameType())
	return append(frame, body...), nil
}

// Decode parses a frame. It returns an *apierr.Error of KindBadFrame if the frame
// is too short, too large, of another version or of an unknown type, or if its body
// is not valid CBOR of that type. The result does not alias frame.
func Decode(frame []byte) (Message, error) {
	if len(frame) < headerSize {
		return nil, apierr.New(apierr.KindBadFrame, "frame is too short")
	}
	if len(frame) > MaxFrameSize {
		return nil, apierr.New(apierr.KindBadFrame, "frame is too large")
	}
	if frame[0] != Version {
		return nil, apierr.New(apierr.KindBadFrame, fmt.Sprintf("version %d is not %d", frame[0], Version))
	}
	m := newMessage(Type(frame[1]))
	if m == nil {
		return nil, apierr.New(apierr.KindBadFrame, fmt.Sprintf("unknown frame type %d", frame[1]))
	}
	if err := decMode.Unmarshal(frame[headerSize:], m); err != nil {
		return nil, apierr.Wrap(apierr.KindBadFrame, fmt.Sprintf("frame type %d", frame[1]), err)
	}
	return m, nil
}

// newMessage returns an empty body for t, or nil for an unknown type.
func newMessage(t Type) Message {
	if int(t) >= len(bodyConstructors) || bodyConstructors[t] == nil {
		return nil
	}
	return bodyConstructors[t]()
}

// bodyConstructors contains, by frame type, the functions that return an empty body.
var bodyConstructors = [...]func() Message{
	TypeHello:        func() Message { return new(Hello) },
	TypeWelcome:      func() Message { return new(Welcome) },
	TypeAuth:         func() Message { return new(Auth) },
	TypeHeartbeat:    func() Message { return new(Heartbeat) },
	TypeRequest:      func() Message { return new(Request) },
	TypeAccepted:     func() Message { return new(Accepted) },
	TypeResponseHead: func() Message { return new(ResponseHead) },
	TypeResponseData: func() Message { return new(ResponseData) },
	TypeResponseEnd:  func() Message { return new(ResponseEnd) },
	TypeCredit:       func() Message { return new(Credit) },
	TypeCancel:       func() Message { return new(Cancel) },
	TypeWithdraw:     func() Message { return new(Withdraw) },
	TypeWithdrawn:    func() Message { return new(Withdrawn) },
	TypeMembers:      func() Message { return new(Members) },
	TypeConfigHead:   func() Message { return new(ConfigHead) },
	TypeConfigFetch:  func() Message { return new(ConfigFetch) },
	TypeConfigFiles:  func() Message { return new(ConfigFiles) },
	TypeMapPrepare:   func() Message { return new(MapPrepare) },
	TypeMapPromise:   func() Message { return new(MapPromise) },
	TypeMapDecide:    func() Message { return new(MapDecide) },
	TypeMapQuery:     func() Message { return new(MapQuery) },
	TypeMapState:     func() Message { return new(MapState) },
	TypeZoneReport:   func() Message { return new(ZoneReport) },
	TypeMapJoin:      func() Message { return new(MapJoin) },
	TypeMapPreload:   func() Message { return new(MapPreload) },
	TypeMapPreloaded: func() Message { return new(MapPreloaded) },
}
