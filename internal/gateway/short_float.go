package gateway

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// shortFloat is a number that is encoded with 11 significant bits, in three bytes if it is below
// 65,536.
type shortFloat float64

// shortFloats encodes floating-point numbers in the shortest form that keeps their value.
var shortFloats = newShortFloats()

func newShortFloats() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// significantBits is the number of significant bits of a 16-bit floating-point number (IEEE 754
// binary16).
const significantBits = 11

// MarshalCBOR implements cbor.Marshaler.
func (f shortFloat) MarshalCBOR() ([]byte, error) {
	fraction, exponent := math.Frexp(float64(f))
	return shortFloats.Marshal(math.Ldexp(math.Round(math.Ldexp(fraction, significantBits)), exponent-significantBits))
}
