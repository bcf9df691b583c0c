package claims

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
)

// hashSize is the size of keys, digests and owners in bytes.
const hashSize = 16

// KeyHash identifies a Key in a partition.
type KeyHash [hashSize]byte

// Digest identifies a request's content.
type Digest [hashSize]byte

// Owner identifies one incarnation of a claiming process.
type Owner [hashSize]byte

// NewOwner returns a random Owner.
func NewOwner() Owner {
	var o Owner
	_, _ = rand.Read(o[:])
	return o
}

// DigestOf returns the digest of a request's parts, for example method, path and body.
func DigestOf(parts ...[]byte) Digest { return Digest(hash(parts...)) }

// Hash returns the key's hash.
func (k Key) Hash() KeyHash {
	return KeyHash(hash([]byte(k.Organisation), []byte(k.Service), []byte(k.IdempotencyKey)))
}

// Partition returns the index of the key's partition among the n partitions of its
// service. Routing sends all requests of one partition to one agent where possible, to
// avoid conflicts; claims are exclusive even if it does not.
func (k Key) Partition(n int) uint32 {
	h := k.Hash()
	return uint32(binary.BigEndian.Uint64(h[:]) % uint64(n))
}

// hash returns the truncated SHA-256 of the length-prefixed parts.
func hash(parts ...[]byte) [hashSize]byte {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	return [hashSize]byte(h.Sum(nil)[:hashSize])
}
