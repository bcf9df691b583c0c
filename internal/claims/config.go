package claims

import "time"

// DefaultPartitions is the default number of partitions of a service. Entries, the
// processes that accept requests, route by partition and agents claim by it, so that a
// partition has a single writer where possible.
const DefaultPartitions = 4

// Config contains the limits of a Service. Zero fields take the defaults.
type Config struct {
	// Partitions is the number of partitions of each service. All processes must
	// use the same number. Default DefaultPartitions.
	Partitions int
	// BatchDelay is the time that a claim waits for other claims to join its write.
	// Default 15ms.
	BatchDelay time.Duration
	// OutcomeDelay is the time that the outcome of a request that ran waits for a write
	// that it can join. Default 200ms. A release waits for BatchDelay instead.
	OutcomeDelay time.Duration
	// WriteRate is the maximum sustained rate of head writes per partition, per second.
	// Default 20.
	WriteRate float64
	// WriteBurst is the maximum number of consecutive head writes after an idle period.
	// Default 5.
	WriteBurst float64
	// Window is the minimum time for which a key is remembered. Default 24h.
	Window time.Duration
	// MaxWait is the maximum time that a claim waits for the platform. Default 2s.
	MaxWait time.Duration
	// MaxPending is the maximum number of waiting claims per partition. Default 1024.
	MaxPending int
	// MaxAnswer is the size in bytes of the largest answer that is kept. Default 2 KiB.
	MaxAnswer int
	// AnswerMemory is the maximum size in bytes of the answers kept in memory per
	// partition; the oldest are dropped first. Default 4 MiB.
	AnswerMemory int
	// SealRecords is the number of records in a sealed segment. Default 256.
	SealRecords int
	// SealBytes is the size in bytes of the records at which a segment is sealed before
	// it has SealRecords records. Default 32 KiB.
	SealBytes int
	// SummarySegments is the number of segments in a summary. Default 32.
	SummarySegments int
	// CallTimeout is the timeout of one store call. Default 2s.
	CallTimeout time.Duration
}

// WithDefaults returns c with its zero fields set to the defaults.
func (c Config) WithDefaults() Config {
	setDefault(&c.Partitions, DefaultPartitions)
	setDefault(&c.BatchDelay, 15*time.Millisecond)
	setDefault(&c.OutcomeDelay, 200*time.Millisecond)
	setDefault(&c.WriteRate, 20)
	setDefault(&c.WriteBurst, 5)
	setDefault(&c.Window, 24*time.Hour)
	setDefault(&c.MaxWait, 2*time.Second)
	setDefault(&c.MaxPending, 1024)
	setDefault(&c.MaxAnswer, 2<<10)
	setDefault(&c.AnswerMemory, 4<<20)
	setDefault(&c.SealRecords, 256)
	setDefault(&c.SealBytes, 32<<10)
	setDefault(&c.SummarySegments, 32)
	setDefault(&c.CallTimeout, 2*time.Second)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// runMarginDivisor defines the safety margin at the end of the window: a claim must not
// be run in the last Window/runMarginDivisor.
const runMarginDivisor = 24
