package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// organisation is one organisation that sends requests.
type organisation struct {
	name   string
	weight int
	large  bool
	// share is the organisation's fraction of the offered load.
	share float64
}

const (
	largeOrganisations = 3
	smallOrganisations = 7
	// largeWeight is the configured weight of a large organisation; that of a small one is 1.
	largeWeight = 4
	// largeShare is the fraction of the offered load that all large organisations send
	// together.
	largeShare = 0.75
	// prefixesPerOrganisation is the number of prompt prefixes that an organisation uses.
	prefixesPerOrganisation = 30
	// decodeSigma is the standard deviation of the logarithm of the decode time.
	decodeSigma = 0.5
)

func organisations() []*organisation {
	var orgs []*organisation
	for i := range largeOrganisations {
		orgs = append(orgs, &organisation{
			name: "large-" + strconv.Itoa(i), weight: largeWeight, large: true,
			share: largeShare / largeOrganisations,
		})
	}
	for i := range smallOrganisations {
		orgs = append(orgs, &organisation{
			name: "small-" + strconv.Itoa(i), weight: 1,
			share: (1 - largeShare) / smallOrganisations,
		})
	}
	return orgs
}

// request is one request of a caller.
type request struct {
	org        *organisation
	pool       string
	key        string
	prefix     uint64
	idempotent bool
	decode     time.Duration
	arrived    time.Duration
	deadline   time.Duration
	recorded   bool
}

// poolSpec describes the targets of a pool and its requests.
type poolSpec struct {
	name       string
	engine     engineSpec
	targets    []int         // number of targets in each availability zone
	meanDecode time.Duration // at an idle engine
	timeout    time.Duration
	idempotent bool
}

// serviceTime returns the mean service time of a request with a cached prefix at a warm
// target that runs as many requests as its limit.
func (p poolSpec) serviceTime() time.Duration {
	return scale(p.meanDecode+p.engine.prefillHit, p.engine.slowdown(float64(p.engine.limit), 1))
}

// targetThroughput returns the number of requests per second that a warm target at its
// limit completes.
func (p poolSpec) targetThroughput() float64 {
	return float64(p.engine.limit) / p.serviceTime().Seconds()
}

// throughput returns the number of requests per second that all targets of the pool
// complete when they are warm and at their limit.
func (p poolSpec) throughput() float64 {
	n := 0
	for _, t := range p.targets {
		n += t
	}
	return p.targetThroughput() * float64(n)
}

// draftingPool returns a pool of sixteen targets that serve idempotent drafts.
func draftingPool() poolSpec {
	return poolSpec{
		name: "drafting",
		engine: engineSpec{
			limit: 16, coldLimit: 2, warmCapacity: 20, coldCapacity: 3, warmAfter: 150,
			coldSlowdown: 2, prefillMiss: 300 * time.Millisecond, prefillHit: 60 * time.Millisecond,
			cachedPrefixes: 64, restart: 10 * time.Second,
		},
		targets: []int{6, 5, 5}, meanDecode: 2 * time.Second, timeout: 12 * time.Second,
		idempotent: true,
	}
}

// permitPool returns a pool of three targets that serve requests with an idempotency key.
func permitPool() poolSpec {
	return poolSpec{
		name: "permit",
		engine: engineSpec{
			limit: 8, coldLimit: 2, warmCapacity: 10, coldCapacity: 3, warmAfter: 60,
			coldSlowdown: 2, prefillMiss: 20 * time.Millisecond, prefillHit: 20 * time.Millisecond,
			cachedPrefixes: 1, restart: 10 * time.Second,
		},
		targets: []int{1, 1, 1}, meanDecode: 500 * time.Millisecond, timeout: 10 * time.Second,
	}
}

// arrivals generates the requests of one organisation to one pool as a Poisson process.
type arrivals struct {
	sim  *simulation
	org  *organisation
	pool poolSpec
	rng  *rand.Rand
	seq  int
}

// schedule schedules the next request.
func (a *arrivals) schedule() {
	rate := a.sim.scenario.rate(a.sim.clock.now, a.pool, a.org)
	gap := time.Duration(a.rng.ExpFloat64() / rate * float64(time.Second))
	a.sim.clock.after(gap, func() {
		a.sim.dispatch(a.request())
		a.schedule()
	})
}

func (a *arrivals) request() *request {
	a.seq++
	now := a.sim.clock.now
	return &request{
		org: a.org, pool: a.pool.name, idempotent: a.pool.idempotent,
		key:    fmt.Sprintf("%s-%d", a.org.name, a.seq),
		prefix: a.prefix(), decode: a.decode(),
		arrived: now, deadline: now + a.pool.timeout,
	}
}

// decode returns a random decode time with a log-normal distribution and the pool's mean.
func (a *arrivals) decode() time.Duration {
	factor := math.Exp(a.rng.NormFloat64()*decodeSigma - decodeSigma*decodeSigma/2)
	return scale(a.pool.meanDecode, factor)
}

// prefix returns the hash of a random prompt prefix of the organisation. Prefixes with low
// numbers are more popular.
func (a *arrivals) prefix() uint64 {
	u := a.rng.Float64()
	n := int(u * u * prefixesPerOrganisation)
	return xxhash.Sum64String(a.org.name + strconv.Itoa(n))
}
