// Package hint defines the datagrams in which mappers report the state of their engines to
// gateways. The state is recent, and cheap to read on the engine's own instance. A lost
// datagram is not sent again, since the next one follows.
package hint

import "github.com/fxamacker/cbor/v2"

// Message is a datagram between a gateway and a mapper. One of its fields is set.
type Message struct {
	// Subscribe asks a mapper to send its reports for a limited time.
	Subscribe bool `cbor:"20,keyasint,omitempty"`
	// Report is a mapper's answer, sent each time the mapper polls its engine.
	Report *Report `cbor:"21,keyasint,omitempty"`
}

// Report is the state of one engine.
type Report struct {
	// Group names the engine's lock-step group; it is empty if there is none.
	Group string `cbor:"1,keyasint"`
	// Epoch increases each time the group is formed again.
	Epoch int64 `cbor:"2,keyasint"`
	// Open is true while the group runs.
	Open bool `cbor:"3,keyasint"`
	// Running and Waiting are the numbers of requests that run and wait at the engine.
	Running int `cbor:"4,keyasint"`
	Waiting int `cbor:"5,keyasint"`
}

// Encode returns m encoded as a datagram.
func (m *Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode decodes a datagram.
func Decode(b []byte) (Message, error) {
	var m Message
	err := cbor.Unmarshal(b, &m)
	return m, err
}
