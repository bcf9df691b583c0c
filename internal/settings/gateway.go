package settings

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/config"
)

// Gateway contains the settings of gentiantrail-gateway.
type Gateway struct {
	// Name is the instance's unique name. Required.
	Name string `yaml:"name"`
	// AvailabilityZone is the name of the instance's availability zone. Required.
	AvailabilityZone string `yaml:"availability_zone"`
	// Listen is the IP address and port for callers' HTTP requests. Required.
	Listen string `yaml:"listen"`
	// ReadyAddress is the IP address and port for readiness checks. Required.
	ReadyAddress string `yaml:"ready_address"`
	// AdminAddress is the IP address and port for metrics and the state dump. Required.
	AdminAddress string `yaml:"admin_address"`
	// PeerAddress is the IP address and UDP port on which gateways exchange reports of
	// their work. Required.
	PeerAddress string `yaml:"peer_address"`
	// StoreAddress is the IP address and port of the platform's store. Required.
	StoreAddress string `yaml:"store_address"`
	// StoreHistory is the time for which the store keeps the changes for watches. Default 30s,
	// range 1s to 1h.
	StoreHistory time.Duration `yaml:"store_history"`
	// Memory is the process's memory in MiB; the garbage collector aims to stay below it.
	// Range 16 to 65536.
	Memory int `yaml:"memory"`
	// Limits bound retries, cold targets and the graceful stop. Changes apply at a reload.
	Limits GatewayLimits `yaml:"limits" reload:"live"`
	// ZoneRouting configures which requests are sent to other availability zones. Changes apply at a
	// reload.
	ZoneRouting ZoneRouting `yaml:"zone_routing" reload:"live"`
	// Callers bounds the resources that callers may use. Changes apply at the next start.
	Callers GatewayCallers `yaml:"callers"`
}

// ZoneRouting configures the routing between availability zones.
type ZoneRouting struct {
	// Enabled makes the gateways predict whether a request is served sooner in another zone, and
	// send as many there as balances the zones. Otherwise a target of another zone costs 0.02 of
	// its load. Default false.
	Enabled bool `yaml:"enabled"`
	// CostMs is the time in milliseconds that operators would accept to keep a request in its
	// zone, in addition to the delay of the network. Default 2, range 0 to 60000.
	CostMs float64 `yaml:"cost_ms"`
}

// DefaultZoneRouting returns the routing between zones of a gateway whose settings specify none.
func DefaultZoneRouting() ZoneRouting { return ZoneRouting{CostMs: 2} }

// Cost returns CostMs as a duration.
func (z ZoneRouting) Cost() time.Duration {
	return time.Duration(z.CostMs * float64(time.Millisecond))
}

// GatewayCallers bounds the resources that the callers of a gateway may use.
type GatewayCallers struct {
	// BufferBytes is the memory for requests that arrive or are handled and for answers that
	// callers have not accepted; above it, callers are cut off. It should be at least three times
	// the largest body. Default: a quarter of Memory, at least 16MiB; range 1MiB to 64GiB.
	BufferBytes config.Size `yaml:"buffer_bytes"`
	// MaxConnections is the largest number of callers' connections. Default: three quarters of
	// the process's descriptor limit minus 200, at least 64, and at most one for each 16KiB of
	// Memory; range 1 to 1048576.
	MaxConnections int `yaml:"max_connections"`
}

// minCallerBuffer is the smallest default of GatewayCallers.BufferBytes.
const minCallerBuffer = 16 * config.MiB

// GatewayLimits are the limits of a gateway. Those of repeats and cold targets apply to the
// whole fleet, and each gateway applies its share of them.
type GatewayLimits struct {
	// RetryRatio is the number of repeats that all gateways together may send to a service
	// for each request. Default 0.1, range 0 to 1.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RetrySlack is the number of repeats allowed in addition to the ratio. Each gateway keeps up to
	// its share of it, so that one per gateway or more is needed. Default 20, range 0 to 100000.
	RetrySlack int `yaml:"retry_slack"`
	// RetryWindow is the time over which repeats are counted. Default 10s, range 1s to 10m.
	RetryWindow time.Duration `yaml:"retry_window"`
	// ColdFactor times a service's rate plus ColdSlack is the number of requests that all
	// gateways together may send to a cold target in a second. Default 1, range 0.1 to 10.
	ColdFactor float64 `yaml:"cold_factor"`
	// ColdSlack is the constant part of that number, in requests. Default 0, range 0 to 1000.
	ColdSlack int `yaml:"cold_slack"`
	// DrainTimeout is the time within which a target that has left the fleet must get no
	// more requests. Default 2s, range 100ms to 10m.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// StopTimeout is the longest time from a stop signal to the end of the process.
	// Default 8s, range 1s to 1h.
	StopTimeout time.Duration `yaml:"stop_timeout"`
}

// DefaultGatewayLimits returns the limits of a gateway whose settings specify none.
func DefaultGatewayLimits() GatewayLimits {
	return GatewayLimits{
		RetryRatio: 0.1, RetrySlack: 20, RetryWindow: 10 * time.Second,
		ColdFactor: 1, DrainTimeout: 2 * time.Second, StopTimeout: 8 * time.Second,
	}
}

const defaultStoreHistory = 30 * time.Second

// LoadGateway reads and checks the gateway settings at path. The error is an *Error.
func LoadGateway(path string) (*Gateway, error) {
	g := &Gateway{Limits: DefaultGatewayLimits(), StoreHistory: defaultStoreHistory, ZoneRouting: DefaultZoneRouting()}
	if err := load(path, g); err != nil {
		return nil, err
	}
	return g, nil
}

func (g *Gateway) check(c *checker) {
	c.name("name", g.Name)
	c.name("availability_zone", g.AvailabilityZone)
	c.address("listen", g.Listen)
	c.address("ready_address", g.ReadyAddress)
	c.address("admin_address", g.AdminAddress)
	c.address("peer_address", g.PeerAddress)
	c.address("store_address", g.StoreAddress)
	checkRange(c, "store_history", g.StoreHistory, time.Second, time.Hour)
	checkRange(c, "memory", g.Memory, 16, 65536)
	checkRange(c, "zone_routing.cost_ms", g.ZoneRouting.CostMs, 0, 60000)
	g.Callers.check(c, g.Memory)
	l := &g.Limits
	checkRange(c, "limits.retry_ratio", l.RetryRatio, 0, 1)
	checkRange(c, "limits.retry_slack", l.RetrySlack, 0, 100000)
	checkRange(c, "limits.retry_window", l.RetryWindow, time.Second, 10*time.Minute)
	checkRange(c, "limits.cold_factor", l.ColdFactor, 0.1, 10)
	checkRange(c, "limits.cold_slack", l.ColdSlack, 0, 1000)
	checkRange(c, "limits.drain_timeout", l.DrainTimeout, 100*time.Millisecond, 10*time.Minute)
	checkRange(c, "limits.stop_timeout", l.StopTimeout, time.Second, time.Hour)
}

// check sets the default of BufferBytes and checks the values. MaxConnections stays 0 if it is not
// given, since its default depends on the process.
func (l *GatewayCallers) check(c *checker, memory int) {
	if l.BufferBytes == 0 {
		l.BufferBytes = max(minCallerBuffer, config.Size(memory)*config.MiB/4)
	}
	checkRange(c, "callers.buffer_bytes", l.BufferBytes, config.MiB, 65536*config.MiB)
	if l.MaxConnections != 0 {
		checkRange(c, "callers.max_connections", l.MaxConnections, 1, 1<<20)
	}
}
