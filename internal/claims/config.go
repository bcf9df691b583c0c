package claims

import "time"

// DefaultPartitions is the number of partitions of a service. Entries route by it
// and agents claim by it, so that a partition has one writer where possible.
const DefaultPartitions = 4

// Config are the limits of a Service. Zero fields take the defaults.
type Config struct {
	// Partitions is the number of partitions of each service. All processes must
	// use the same number. Default DefaultPartitions.
	Partitions int
	// Gather is how long a claim waits for others before the write. Default 15ms.
	Gather time.Duration
	// OutcomeDelay is how long the outcome of a request that ran waits for a write to
	// go with. Default 200ms. A release waits for Gather.
	OutcomeDelay time.Duration
	// WriteRate is the most head writes per second and partition. Default 20.
	WriteRate float64
	// WriteBurst is the most head writes at once after a quiet time. Default 5.
	WriteBurst float64
	// Window is how long a key is remembered at least. Default 24h.
	Window time.Duration
	// MaxWait bounds the time that a claim waits for the platform. Default 2s.
	MaxWait time.Duration
	// MaxPending is the most claims that wait in one partition. Default 1024.
	MaxPending int
	// MaxAnswer is the largest kept answer in bytes. Default 2 KiB.
	MaxAnswer int
	// AnswerMemory is the most bytes of kept answers held for one partition; the
	// oldest are dropped first. Default 4 MiB.
	AnswerMemory int
	// SealRecords is the number of records in a sealed segment. Default 256.
	SealRecords int
	// SealBytes seals a segment early when its records reach this size. Default 32 KiB.
	SealBytes int
	// SummarySegments is the number of segments in a summary. Default 32.
	SummarySegments int
	// CallTimeout bounds one call of the store. Default 2s.
	CallTimeout time.Duration
}

// WithDefaults returns c with its zero fields set to the defaults.
func (c Config) WithDefaults() Config {
	setDefault(&c.Partitions, DefaultPartitions)
	setDefault(&c.Gather, 15*time.Millisecond)
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

// runMargin is the part of the window, as a divisor, in which a claim must no longer be run.
const runMargin = 24
