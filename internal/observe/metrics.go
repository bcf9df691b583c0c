package observe

import (
	"io"
	"time"

	"github.com/phuslu/log"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const (
	metricsPrefix  = "gentiantrail"
	reportInterval = time.Second
)

// LatencyBuckets are the histogram buckets for request durations.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 20)

// sanitizeOptions allow the characters of instance names and addresses in tag values.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters: prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'-', '_', '.', ':', '/'},
	},
	ReplacementCharacter: '_',
}

// Metrics contains a process's tally scope and its Prometheus text endpoint.
type Metrics struct {
	// Scope creates counters, gauges and histograms.
	Scope tally.Scope

	closer  io.Closer
	handler fasthttp.RequestHandler
}

// NewMetrics returns metrics with the prefix gentiantrail_ and the given tags on each
// metric. Runtime and process metrics are included. A metric that conflicts with an
// earlier one of the same name is logged and not reported.
func NewMetrics(tags map[string]string, logger *log.Logger) *Metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		OnRegisterError: func(err error) {
			logger.Error().Str("event", "metric_refused").Err(err).Msg("")
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &sanitizeOptions,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		Scope:   scope,
		closer:  closer,
		handler: fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()),
	}
}

// Close reports pending values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
