package settings

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/config"
)

const gatewayText = `name: gw-1
availability_zone: sk-a
listen: 10.0.0.1:80
ready_address: 10.0.0.1:81
admin_address: 10.0.0.1:82
peer_address: 10.0.0.1:83
store_address: 10.9.0.1:8000
memory: 284
limits:
  retry_ratio: 0.2
  retry_slack: 94
  retry_window: 10s
  cold_factor: 1.5
  cold_slack: 5
  drain_timeout: 3s
  stop_timeout: 8s
`

const mapperText = `name: m-1
availability_zone: sk-a
target_address: 10.0.0.1:80
service: drafting
peer_address: 10.0.0.1:83
admin_address: 10.0.0.1:82
store_address: 10.9.0.1:8000
memory: 152
`

func TestGatewaySettings(t *testing.T) {
	g, err := LoadGateway(writeFile(t, gatewayText))
	assert.NilError(t, err)
	assert.Equal(t, g.Limits, GatewayLimits{
		RetryRatio: 0.2, RetrySlack: 94, RetryWindow: 10 * time.Second, ColdFactor: 1.5, ColdSlack: 5, DrainTimeout: 3 * time.Second, StopTimeout: 8 * time.Second,
	})
	assert.Equal(t, g.ZoneRouting, ZoneRouting{CostMs: 2})
	assert.Equal(t, g.Callers, GatewayCallers{BufferBytes: 71 * config.MiB})
	g, err = LoadGateway(writeFile(t, gatewayText+"zone_routing:\n  enabled: true\n  cost_ms: 0.5\n"))
	assert.NilError(t, err)
	assert.Equal(t, g.ZoneRouting, ZoneRouting{Enabled: true, CostMs: 0.5})
	assert.Equal(t, g.ZoneRouting.Cost(), 500*time.Microsecond)
	_, err = LoadMapper(writeFile(t, mapperText))
	assert.NilError(t, err)
}

func TestGatewayCallers(t *testing.T) {
	g, err := LoadGateway(writeFile(t, gatewayText+"callers:\n  buffer_bytes: 20MiB\n  max_connections: 300\n"))
	assert.NilError(t, err)
	assert.Equal(t, g.Callers, GatewayCallers{BufferBytes: 20 * config.MiB, MaxConnections: 300})
	g, err = LoadGateway(writeFile(t, strings.Replace(gatewayText, "memory: 284", "memory: 16", 1)))
	assert.NilError(t, err)
	assert.Equal(t, g.Callers.BufferBytes, 16*config.MiB)
	for _, field := range []string{"buffer_bytes: 1KiB", "buffer_bytes: many", "max_connections: -1", "max_connections: 2000000"} {
		_, err := LoadGateway(writeFile(t, gatewayText+"callers:\n  "+field+"\n"))
		name, _, _ := strings.Cut(field, ":")
		assert.ErrorContains(t, err, name)
	}
}

// The error for an invalid file fits on one line, names the field and says what to write
// instead.
func TestInvalidGatewayAndMapperSettingsAreRejected(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"listen: 10.0.0.1:80", "listen: somewhere", "listen"},
		{"memory: 284", "memory: 0", "memory"},
		{"retry_ratio: 0.2", "retry_ratio: 7", "limits.retry_ratio"},
		{"retry_ratio: 0.2", "retry_ratio: .nan", "limits.retry_ratio"},
		{"stop_timeout: 8s", "stop_timeout: 8", "stop_timeout"},
		{"drain_timeout: 3s", "drain_timeout: 99ms", "limits.drain_timeout"},
		{"name: gw-1", "nome: gw-1", "unknown field nome"},
		{"store_address: 10.9.0.1:8000", "store_address:", "store_address"},
		{"limits:", "limits: [", ""},
		{"limits:", "zone_routing:\n  cost_ms: -1\nlimits:", "zone_routing.cost_ms"},
		{"limits:", "zone_routing:\n  cost_ms: .nan\nlimits:", "zone_routing.cost_ms"},
		{"limits:", "zone_routing:\n  enabled: maybe\nlimits:", "enabled"},
	} {
		_, err := LoadGateway(writeFile(t, strings.Replace(gatewayText, c.from, c.to, 1)))
		assert.ErrorContains(t, err, c.want)
		assert.Assert(t, !strings.Contains(err.Error(), "\n"), err)
	}
	for _, field := range []string{"target_address", "service", "peer_address"} {
		_, err := LoadMapper(writeFile(t, strings.Replace(mapperText, field+":", "other:", 1)))
		assert.ErrorContains(t, err, "other")
	}
	_, err := LoadMapper(filepath.Join(t.TempDir(), "none.yaml"))
	assert.ErrorContains(t, err, "cannot be read")
}
