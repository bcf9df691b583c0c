package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// organisation is one calling organisation.
type organisation struct {
	name   string
	weight int
	large  bool
	// share is the organisation's part of the offered load.
	share float64
}

const (
	largeOrganisations = 3
	smallOrganisations = 7
	// largeWeight is the configured weight of a large organisation; a small one has 1.
	largeWeight = 4
	// largeShare is the part of the offered load that the large organisations send together.
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

// request is one caller's request.
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

// poolSpec describes a pool's targets and its requests.
type poolSpec struct {
	name       string
	engine     engineSpec
	targets    []int
	meanDecode time.Duration
	timeout    time.Duration
	idempotent bool
}

// serviceTime returns the mean service time of a warm target at its limit with a cached prefix.
func (p poolSpec) serviceTime() time.Duration {
	return scale(p.meanDecode+p.engine.prefillHit, p.engine.slowdown(float64(p.engine.limit), 1))
}

// targetRate returns the most requests a second that a warm target completes.
func (p poolSpec) targetRate() float64 {
	return float64(p.engine.limit) / p.serviceTime().Seconds()
}

// capacity returns the most requests a second that the whole warm pool completes.
func (p poolSpec) capacity() float64 {
	n := 0
	for _, t := range p.targets {
		n += t
	}
	return p.targetRate() * float64(n)
}

// draftingPool has sixteen targets; its requests are idempotent drafts.
func draftingPool() poolSpec {
	return poolSpec{
		name: "drafting",
		engine: engineSpec{
			limit: 16, coldLimit: 2, warmBears: 20, coldBears: 3, warmAfter: 150,
			coldSlowdown: 2, prefillMiss: 300 * time.Millisecond, prefillHit: 60 * time.Millisecond,
			cachedPrefixes: 64, restart: 10 * time.Second,
		},
		targets: []int{6, 5, 5}, meanDecode: 2 * time.Second, timeout: 12 * time.Second,
		idempotent: true,
	}
}

// permitPool has three targets; its requests carry an idempotency key.
func permitPool() poolSpec {
	return poolSpec{
		name: "permit",
		engine: engineSpec{
			limit: 8, coldLimit: 2, warmBears: 10, coldBears: 3, warmAfter: 60,
			coldSlowdown: 2, prefillMiss: 20 * time.Millisecond, prefillHit: 20 * time.Millisecond,
			cachedPrefixes: 1, restart: 10 * time.Second,
		},
		targets: []int{1, 1, 1}, meanDecode: 500 * time.Millisecond, timeout: 10 * time.Second,
	}
}

// arrivals sends the requests of one organisation to one pool as a Poisson process.
type arrivals struct {
	world *world
	org   *organisation
	pool  poolSpec
	rng   *rand.Rand
	seq   int
}

func (a *arrivals) schedule() {
	rate := a.world.scenario.rate(a.world.clock.now, a.pool, a.org)
	gap := time.Duration(a.rng.ExpFloat64() / rate * float64(time.Second))
	a.world.clock.after(gap, func() {
		a.world.arrive(a.request())
		a.schedule()
	})
}

func (a *arrivals) request() *request {
	a.seq++
	now := a.world.clock.now
	return &request{
		org: a.org, pool: a.pool.name, idempotent: a.pool.idempotent,
		key:    fmt.Sprintf("%s-%d", a.org.name, a.seq),
		prefix: a.prefix(), decode: a.decode(),
		arrived: now, deadline: now + a.pool.timeout,
	}
}

// decode draws a log-normal decode time with the pool's mean.
func (a *arrivals) decode() time.Duration {
	factor := math.Exp(a.rng.NormFloat64()*decodeSigma - decodeSigma*decodeSigma/2)
	return scale(a.pool.meanDecode, factor)
}

// prefix draws a prompt prefix; low numbers are more popular.
func (a *arrivals) prefix() uint64 {
	u := a.rng.Float64()
	n := int(u * u * prefixesPerOrganisation)
	return xxhash.Sum64String(a.org.name + strconv.Itoa(n))
}
