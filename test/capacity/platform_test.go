package capacity

import (
	"crypto/sha256"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
)

// Sizes of the measured configuration and of an availability zone.
const (
	pools         = 24
	zones         = 7
	organisations = 810
	agentsPerZone = 86
	apiKey        = "capacity-key"
)

// platform is a stand-in for the platform that holds a published configuration.
type platform struct {
	store *objectstore.Memory
	addr  string
}

func startPlatform(t *testing.T) *platform {
	t.Helper()
	p := &platform{store: objectstore.New()}
	p.addr = serve(t, objectstore.Handler(p.store))
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "10-all.yaml"), []byte(fullConfig()), 0o600))
	out, err := exec.Command(filepath.Join(*binDir, "gentiantrailctl"), "apply", dir, "--platform", p.addr).CombinedOutput()
	assert.NilError(t, err, string(out))
	return p
}

// reads returns the number of get, list and watch calls so far. A watch counts as one call.
func (p *platform) reads() float64 {
	c := p.store.Counters()
	return float64(c.Get + c.List + c.Watch)
}

// serve serves h on a free loopback port until the test ends, and returns the address.
func serve(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func poolName(i int) string { return fmt.Sprintf("model-%02d", i) }

// fullConfig returns the configuration with all availability zones, pools, services and
// organisations.
func fullConfig() string { return baseConfig() + organisationsConfig(0, organisations, 1) }

// baseConfig returns the part of the configuration with availability zones, pools and services.
func baseConfig() string {
	var b strings.Builder
	b.WriteString("availability_zones:\n")
	for i := range zones {
		fmt.Fprintf(&b, "- name: zone-%d\n  region: region-%d\n", i, i%3)
	}
	b.WriteString("pools:\n")
	for i := range pools {
		fmt.Fprintf(&b, "- name: %s\n  kind: model\n  limit: 512\n  cold_limit: 512\n  queue_limit: 512\n", poolName(i))
	}
	b.WriteString("services:\n")
	for i := range pools {
		fmt.Fprintf(&b, "- name: %s\n  pool: %s\n  default_timeout: 30s\n  max_timeout: 60s\n"+
			"  routes:\n  - method: POST\n    path: /*\n    idempotent: true\n", poolName(i), poolName(i))
	}
	return b.String()
}

// organisationsConfig returns the part of the configuration with the organisations whose
// numbers are at least from and less than to.
func organisationsConfig(from, to, weight int) string {
	var b strings.Builder
	b.WriteString("organisations:\n")
	for i := from; i < to; i++ {
		key := apiKey
		if i > 0 {
			key = fmt.Sprintf("%s-%d", apiKey, i)
		}
		fmt.Fprintf(&b, "- name: organisation-%03d\n  weight: %d\n  max_waiting: 256\n  key_digests:\n  - %x\n",
			i, weight, sha256.Sum256([]byte(key)))
	}
	return b.String()
}
