// Package gateway accepts requests from callers and forwards them directly to targets.
// A request passes a pipeline of filters, one file each: route, identify, deadline,
// admit; then dispatch and relay.
//
// One goroutine owns the control state and publishes immutable views of it. Request
// goroutines read the views and report results of targets to the balancer, which is
// guarded by a mutex that is held briefly.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/observe"
	"github.com/gentiantrail/gentiantrail/internal/pause"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
	"github.com/gentiantrail/gentiantrail/internal/retry"
	"github.com/gentiantrail/gentiantrail/internal/settings"
	"github.com/gentiantrail/gentiantrail/internal/upstream"
)

// Headers contains the names of the header fields that callers and targets of a
// deployment use.
type Headers struct {
	// Attempt carries the id of one attempt of a caller.
	Attempt string
	// Deadline carries the time left until the deadline, in milliseconds.
	Deadline string
	// Signature proves that a target produced the response.
	Signature string
	// Organisation carries the name of the calling organisation to a target.
	Organisation string
	// ExpectTarget carries a target's id; any other target refuses the request.
	ExpectTarget string
	// Load carries a target's numbers of running and waiting requests and of slots.
	Load string
	// RateLimit carries the rate, in requests per second, at which a target in need takes
	// requests from all gateways together.
	RateLimit string
	// Leaving is 1 in the answers of a target that leaves.
	Leaving string
	// NotExecuted marks a response to a request that the target did not run.
	NotExecuted string
	// LastEvent carries the id of the event after which a stream resumes.
	LastEvent string
	// Urgency carries a request's position in a target's queue; the lowest number is first.
	Urgency string
	// Prompt lists the parts of a request's prompt.
	Prompt string
}

// EngineProbe queries a target for its lock-step group; an empty name means that it has
// none.
type EngineProbe func(ctx context.Context, addr string) (group string, err error)

// Options contains the settings and dependencies of a Gateway.
type Options struct {
	Settings *settings.Gateway
	Headers  Headers
	Source   fleet.Source
	// PromptParts decodes the value of header Prompt into the ids of its parts, in their
	// order. The last part belongs to the request or its session alone. Parts that can't be
	// decoded have empty ids and cause an error, which does not concern the others.
	PromptParts func(value string) ([]string, error)
	// Records keeps what is quarantined while no gateway runs that knows of it.
	Records quarantine.Store
	// Keys keeps the key of the gateways. If it is nil, each gateway watches the store itself.
	Keys    PeerKeys
	Probe   EngineProbe
	Logger  *log.Logger
	Metrics tally.Scope
	// OnFatalError is called with errors that must end the process.
	OnFatalError func(error)
}

// Gateway serves the callers of one instance.
type Gateway struct {
	opts           Options
	start          time.Time
	events         chan event
	view           atomic.Pointer[view]
	client         *upstream.Client
	requestMetrics *observe.RequestMetrics
	count          counters
	levelMetrics   levelMetrics
	answers        answerMeter
	answerTimes    answerTimes

	mu         sync.Mutex
	balancer   *placement.Balancer
	budgets    map[string]*retry.FleetBudget
	pauses     *pause.Detector
	quarantine *quarantine.Tracker
	// zoneCounters count the requests that are sent to each availability zone.
	zoneCounters *zoneCounters
	// answeredRequests remembers which requests have been answered.
	answeredRequests answeredRequests
	// unanswered contains the attempts whose answers have not begun.
	unanswered map[*attempt]struct{}
	// suspecting is true while there is evidence against any request or part of a prompt.
	suspecting atomic.Bool
	records    *quarantineRecords
	// pendingEndChecks counts the attempts whose targets are to be checked later.
	pendingEndChecks atomic.Int32

	// evidenceChanged triggers a message to the other gateways at once.
	evidenceChanged chan struct{}

	// inFlight counts the requests whose responses have not been sent yet, and requests contains them.
	inFlight atomic.Int64
	requests *requestTable
	// inForce are the settings after the last reload; opts.Settings are those of the start.
	inForce atomic.Pointer[settings.Gateway]
	// stopTimes are the times of the stop signal, or nil.
	stopTimes atomic.Pointer[stopTimes]
	server    *server
}

// view is an immutable copy of the control state.
type view struct {
	index   *fleet.Index
	targets map[string]fleet.Target
	// engines maps the IP address of an instance to the id of the model engine on it.
	engines map[string]string
	// loaded is true once the store has been read, so that requests can be routed or
	// rejected.
	loaded   bool
	stopping bool
	shares   shares
	// leveled contains the services that have levels.
	leveled map[string]bool
}

// shares is this gateway's part of the limits that apply to all gateways together.
type shares struct {
	gateways              int
	retries               retry.WindowLimits
	coldFactor, coldSlack float64
}

// New returns a Gateway; Run and Serve start it.
func New(opts Options) *Gateway {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g := &Gateway{
		opts:           opts,
		start:          time.Now(),
		events:         make(chan event, eventQueue),
		client:         upstream.New(upstream.HeaderNames{Attempt: opts.Headers.Attempt, NotExecuted: opts.Headers.NotExecuted}),
		requestMetrics: observe.NewRequestMetrics(opts.Metrics, "requests", "request_duration"),
		count:          newCounters(opts.Metrics),
		levelMetrics:   levelMetrics{scope: opts.Metrics},
		balancer:       placement.New(opts.Settings.Name, opts.Settings.AvailabilityZone, rng),
		budgets:        make(map[string]*retry.FleetBudget),
		pauses:         pause.NewDetector(pauseThreshold),
		quarantine:     quarantine.New(rng),
		zoneCounters:   newZoneCounters(opts.Metrics, opts.Settings.AvailabilityZone),
		unanswered:     make(map[*attempt]struct{}),

		answeredRequests: newAnsweredRequests(),
		evidenceChanged:  make(chan struct{}, 1),
		requests:         newRequestTable(),
		answerTimes:      newAnswerTimes(),
	}
	g.view.Store(&view{})
	g.inForce.Store(opts.Settings)
	g.server = newServer(g)
	g.records = newQuarantineRecords(g)
	return g
}

// now returns the time since the gateway's start, the clock of packages placement, fleet
// and retry.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// Ready returns an error while the load balancer in front should send no callers to this
// gateway.
func (g *Gateway) Ready() error {
	v := g.view.Load()
	switch {
	case v.stopping:
		return apierr.New(apierr.KindDraining, g.opts.Settings.Name)
	case !v.loaded:
		return apierr.New(apierr.KindConfigUnavailable, g.opts.Settings.Name)
	default:
		return nil
	}
}
