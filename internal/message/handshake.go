package message

// Role is the kind of process at the other end of a link.
type Role uint8

// The roles.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RoleEntry:
		return "entry"
	case RoleAgent:
		return "agent"
	default:
		return "unknown"
	}
}

// Identity identifies one incarnation of a process.
type Identity struct {
	Role             Role   `cbor:"1,keyasint"`
	Name             string `cbor:"2,keyasint"`
	AvailabilityZone string `cbor:"3,keyasint"`
	// Incarnation is random for each start of the process.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Address is the address at which the process accepts links; it is empty if it accepts none.
	Address string `cbor:"5,keyasint"`
	// Pool is the pool of an agent's target.
	Pool string `cbor:"6,keyasint,omitempty"`
}

// Hello opens the handshake from the dialling side.
type Hello struct {
	Identity Identity `cbor:"1,keyasint"`
	Nonce    []byte   `cbor:"2,keyasint"`
}

// Welcome answers Hello with a proof that the accepting side knows the link key.
type Welcome struct {
	Identity Identity `cbor:"1,keyasint"`
	Nonce    []byte   `cbor:"2,keyasint"`
	MAC      []byte   `cbor:"3,keyasint"`
}

// Auth ends the handshake with a proof that the dialling side knows the link key.
type Auth struct {
	MAC []byte `cbor:"1,keyasint"`
}
