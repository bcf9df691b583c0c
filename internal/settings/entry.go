package settings

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/config"
)

// Entry contains the settings of gentiantrail-entry.
type Entry struct {
	// Name is the instance's unique name, by which operators drain it. Required.
	Name string `yaml:"name"`
	// AvailabilityZone is the name of the instance's availability zone. Required.
	AvailabilityZone string `yaml:"availability_zone"`
	// Listen is the IP address and port for callers' HTTP requests. Required.
	Listen string `yaml:"listen"`
	// LinkAddress is the IP address and port that accepts links from agents and
	// other entries. Required.
	LinkAddress string `yaml:"link_address"`
	// Advertise is the link address that other processes dial. Default: LinkAddress.
	Advertise string `yaml:"advertise"`
	// AdminAddress is the IP address and port for health, readiness, metrics and
	// the state dump. Required.
	AdminAddress string `yaml:"admin_address"`
	// PlatformAddress is the IP address and port of the platform's object API. Required.
	PlatformAddress string `yaml:"platform_address"`
	// LinkKey is the secret that all processes share, at least 16 bytes. Either it
	// or LinkKeyFile is required.
	LinkKey string `yaml:"link_key"`
	// LinkKeyFile is the path of a file that contains the link key.
	LinkKeyFile string `yaml:"link_key_file"`
	// Peers are link addresses of other entries, dialled at start-up to discover the
	// others. Default: none.
	Peers []string `yaml:"peers"`
	// Limits bound the resources that callers may use.
	Limits EntryLimits `yaml:"limits"`
}

// EntryLimits bound the resources that callers may use in an entry.
type EntryLimits struct {
	// Header is the largest header block of a request. Default 16KiB, range 1KiB to 1MiB.
	Header config.Size `yaml:"header"`
	// Body is the largest body of a request; services may allow less. Default 4MiB,
	// range 1KiB to 4MiB.
	Body config.Size `yaml:"body"`
	// ReadTimeout is the longest time that a caller may take to send a whole request.
	// Default 10s, range 100ms to 5m.
	ReadTimeout time.Duration `yaml:"read_timeout"`
	// IdleTimeout is the longest time that a caller's connection stays open without
	// a request. Default 60s, range 1s to 1h.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// Connections is the largest number of callers' connections. Default 4096, range 1 to
	// 65536.
	Connections int `yaml:"connections"`
	// Requests is the largest number of requests in flight; more are rejected as overloaded.
	// Default 4096, range 1 to 65536.
	Requests int `yaml:"requests"`
	// StopTimeout is the longest time that a stop waits for requests in flight; it
	// should exceed the longest timeout of any service. Default 11m, range 1s to 1h.
	StopTimeout time.Duration `yaml:"stop_timeout"`
}

// DefaultEntryLimits returns the limits of an entry whose settings specify none.
func DefaultEntryLimits() EntryLimits {
	return EntryLimits{
		Header:      16 * config.KiB,
		Body:        4 * config.MiB,
		ReadTimeout: 10 * time.Second,
		IdleTimeout: time.Minute,
		Connections: 4096,
		Requests:    4096,
		StopTimeout: 11 * time.Minute,
	}
}

// LoadEntry reads and checks the entry settings at path. The error is an *Error.
func LoadEntry(path string) (*Entry, error) {
	e := &Entry{Limits: DefaultEntryLimits()}
	if err := load(path, e); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Entry) check(c *checker) {
	c.name("name", e.Name)
	c.name("availability_zone", e.AvailabilityZone)
	c.address("listen", e.Listen)
	c.address("link_address", e.LinkAddress)
	if e.Advertise == "" {
		e.Advertise = e.LinkAddress
	}
	c.dialAddress("advertise", e.Advertise)
	c.address("admin_address", e.AdminAddress)
	c.address("platform_address", e.PlatformAddress)
	e.LinkKey = c.linkKey(e.LinkKey, e.LinkKeyFile)
	c.dialAddresses("peers", e.Peers)
	e.Limits.check(c)
}

func (l *EntryLimits) check(c *checker) {
	checkRange(c, "limits.header", l.Header, config.KiB, config.MiB)
	checkRange(c, "limits.body", l.Body, config.KiB, config.MaxServiceBody)
	checkRange(c, "limits.read_timeout", l.ReadTimeout, 100*time.Millisecond, 5*time.Minute)
	checkRange(c, "limits.idle_timeout", l.IdleTimeout, time.Second, time.Hour)
	checkRange(c, "limits.connections", l.Connections, 1, 65536)
	checkRange(c, "limits.requests", l.Requests, 1, 65536)
	checkRange(c, "limits.stop_timeout", l.StopTimeout, time.Second, time.Hour)
}
