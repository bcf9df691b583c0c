package claims

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// formatVersion is the format version of the stored objects.
const formatVersion = 1

// recordKind is the kind of a record.
type recordKind uint8

const (
	recordClaim    recordKind = iota + 1 // the owner claims the key
	recordRan                            // the owner's request ran
	recordReleased                       // the owner's request did not run and never will
)

// record is one entry of a partition's log.
type record struct {
	_      struct{} `cbor:",toarray"`
	Kind   recordKind
	Key    KeyHash
	Owner  Owner
	Seq    uint64
	Digest Digest
	// Clock is the partition's clock at the write, in milliseconds.
	Clock  uint64
	Answer *Answer
}

// recordOverhead is an upper bound of the encoded size in bytes of a record without
// its answer.
const recordOverhead = 80

func (r *record) size() int { return recordOverhead + r.Answer.size() }

// head is the object that each append rewrites.
type head struct {
	_      struct{} `cbor:",toarray"`
	Format int
	// First and Next are the bounds of the numbers of the sealed segments: [First, Next).
	First, Next uint64
	// Base is the log position of Records[0].
	Base uint64
	// Clock is the partition's clock in milliseconds; see logView.clockNow.
	Clock   uint64
	Records []record
}

// segment is a sealed part of the log.
type segment struct {
	_       struct{} `cbor:",toarray"`
	Format  int
	Number  uint64
	Base    uint64
	Records []record
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types above always encode
	}
	return b
}

func decodeHead(b []byte) (head, error) {
	var h head
	if err := cbor.Unmarshal(b, &h); err != nil {
		return h, err
	}
	if h.Format != formatVersion {
		return h, fmt.Errorf("claims: head has format %d, want %d", h.Format, formatVersion)
	}
	return h, nil
}

func decodeSegment(b []byte, number uint64) (segment, error) {
	var s segment
	if err := cbor.Unmarshal(b, &s); err != nil {
		return s, err
	}
	if s.Format != formatVersion || s.Number != number || len(s.Records) == 0 {
		return s, fmt.Errorf("claims: segment %d is malformed", number)
	}
	return s, nil
}

func headKey(name string) string { return "claims/" + name + "/head" }

func segmentKey(name string, number uint64) string {
	return fmt.Sprintf("claims/%s/segment-%016x", name, number)
}

// sealableCount returns the number of records that the next segment takes, or zero if there
// are too few. Whichever process seals a segment, it contains a prefix of the same records.
func sealableCount(records []record, maxRecords, maxBytes int) int {
	bytes := 0
	for i := range records {
		bytes += records[i].size()
		if i+1 == maxRecords || bytes >= maxBytes {
			return i + 1
		}
	}
	return 0
}
