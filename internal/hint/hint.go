// Package hint defines the datagrams in which mappers report the state of their engines to
// gateways. The state is recent, and cheap to read on the engine's own instance. A lost
// datagram is not sent again, since the next one follows.
package hint

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// FrequentInterval and RareInterval are the intervals of the reports while nothing changes.
	FrequentInterval = 250 * time.Millisecond
	RareInterval     = 1250 * time.Millisecond
	// BusyDuration is the time for which a gateway gets frequent reports after a request with
	// Busy.
	BusyDuration = 2500 * time.Millisecond
	// ManyGateways is the number of gateways above which not all of them get frequent reports.
	ManyGateways = 40
)

// Message is a datagram between a gateway and a mapper. One of its fields is set.
type Message struct {
	// Subscribe asks a mapper to send its reports for a limited time.
	Subscribe bool `cbor:"20,keyasint,omitempty"`
	// Busy is set in a request of a gateway that has requests at the engine: it needs frequent
	// reports.
	Busy bool `cbor:"25,keyasint,omitempty"`
	// Report is a mapper's answer, sent when the state of the engine changes and periodically.
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
	// Frequent is true if the receiver gets a report at least each FrequentInterval. A mapper
	// with many subscribers sends the others reports each RareInterval.
	Frequent bool `cbor:"6,keyasint,omitempty"`
}

// Encode returns m encoded as a datagram.
func (m *Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode decodes a datagram.
func Decode(b []byte) (Message, error) {
	var m Message
	err := cbor.Unmarshal(b, &m)
	return m, err
}
