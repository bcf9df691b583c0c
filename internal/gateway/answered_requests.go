package gateway

import (
	"hash/maphash"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/quarantine"
)

// answeredRequests remembers when the latest requests, and the own parts of their prompts, were
// last answered. While nothing is suspected, no fingerprint is computed that could be remembered.
type answeredRequests struct {
	// Seed is the seed of the keys.
	Seed    maphash.Seed
	answers quarantine.Answered[uint64]
}

func newAnsweredRequests() answeredRequests { return answeredRequests{Seed: maphash.MakeSeed()} }

// record records an answer that began at a time.
func (r *answeredRequests) record(at time.Duration, keys localKeys) {
	r.answers.Record(at, keys.request)
	if keys.ownPart != 0 {
		r.answers.Record(at, keys.ownPart)
	}
}

// time returns the time of the last answer to what has the key, if it is remembered.
func (r *answeredRequests) time(key uint64) (time.Duration, bool) { return r.answers.Time(key) }
