// Package hint holds what mappers tell gateways of their engines: fresh facts that the
// engines give for free on their own instance. Hints may be lost; the next one follows.
package hint

import "github.com/fxamacker/cbor/v2"

// Message is a datagram between a gateway and a mapper; one of its fields is set.
type Message struct {
	// Subscribe asks a mapper for its reports for a while.
	Subscribe bool `cbor:"20,keyasint,omitempty"`
	// Report is a mapper's answer, sent again at every look at its engine.
	Report *Report `cbor:"21,keyasint,omitempty"`
}

// Report is the state of one engine.
type Report struct {
	// Group names the engine's lock-step group; it is empty if there is none.
	Group string `cbor:"1,keyasint"`
	// Epoch grows each time that the group forms anew.
	Epoch int64 `cbor:"2,keyasint"`
	// Open tells that the group runs.
	Open bool `cbor:"3,keyasint"`
	// Running and Waiting are the requests at the engine.
	Running int `cbor:"4,keyasint"`
	Waiting int `cbor:"5,keyasint"`
}

// Encode returns the datagram.
func (m *Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a datagram.
func Decode(b []byte) (Message, error) {
	var m Message
	err := cbor.Unmarshal(b, &m)
	return m, err
}
