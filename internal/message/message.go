// Package message defines the typed frames that gentiantrail's processes
// exchange over their links, and their encoding.
//
// A frame is one binary WebSocket message: a version byte, a type byte and a
// CBOR map with integer keys. The number of a type and the key of a field never
// change their meaning; a new field gets a new key and an old reader ignores it.
package message

// Type is the type byte of a frame.
type Type uint8

// The frame types. Append only.
const (
	TypeHello Type = iota + 1
	TypeWelcome
	TypeAuth
	TypeHeartbeat
	TypeRequest
	TypeAccepted
	TypeResponseHead
	TypeResponseData
	TypeResponseEnd
	TypeCredit
	TypeCancel
	TypeWithdraw
	TypeWithdrawn
	TypeMembers
	TypeConfigHead
	TypeConfigFetch
	TypeConfigFiles
	TypeMapPrepare
	TypeMapPromise
	TypeMapDecide
	TypeMapQuery
	TypeMapState
	TypeZoneReport
	TypeMapJoin
	TypeMapPreload
	TypeMapPreloaded
)

// Message is implemented by every frame body.
type Message interface {
	// FrameType returns the type byte of the frame.
	FrameType() Type
}
