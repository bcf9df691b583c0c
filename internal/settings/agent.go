package settings

import "time"

// Agent contains the settings of gentiantrail-agent.
type Agent struct {
	// Name is the instance's unique name, by which operators drain it. Required.
	Name string `yaml:"name"`
	// AvailabilityZone is the name of the instance's availability zone. Required.
	AvailabilityZone string `yaml:"availability_zone"`
	// Pool is the name of the target pool to which the target belongs. Required.
	Pool string `yaml:"pool"`
	// TargetAddress is the IP address and port of the target's HTTP server. Required.
	TargetAddress string `yaml:"target_address"`
	// LinkAddress is the IP address and port that accepts links from other agents of
	// the target's group. Required for pools with a group.
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
	// Entries are link addresses of entries in the agent's availability zone, dialled
	// at start-up to discover the others. At least one is required.
	Entries []string `yaml:"entries"`
	// Group is the name of the lock-step group of the target. Required for pools with
	// groups.
	Group string `yaml:"group"`
	// Rank is the target's rank in its group, from 0. Default 0.
	Rank int `yaml:"rank"`
	// StopTimeout is the longest time that a stop waits for requests in flight; it
	// should exceed the longest timeout of any service. Default 11m, range 1s to 1h.
	StopTimeout time.Duration `yaml:"stop_timeout"`
}

// maxRank is the highest rank of a group.
const maxRank = 1023

// LoadAgent reads and checks the agent settings at path. The error is an *Error.
func LoadAgent(path string) (*Agent, error) {
	a := &Agent{StopTimeout: 11 * time.Minute}
	if err := load(path, a); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *Agent) check(c *checker) {
	c.name("name", a.Name)
	c.name("availability_zone", a.AvailabilityZone)
	c.name("pool", a.Pool)
	c.address("target_address", a.TargetAddress)
	a.checkLink(c)
	c.address("admin_address", a.AdminAddress)
	c.address("platform_address", a.PlatformAddress)
	a.LinkKey = c.linkKey(a.LinkKey, a.LinkKeyFile)
	if len(a.Entries) == 0 {
		c.add("entries", "names no entry", "list the link address of at least one entry of the availability zone")
	}
	c.dialAddresses("entries", a.Entries)
	if a.Group != "" {
		c.name("group", a.Group)
	}
	checkRange(c, "rank", a.Rank, 0, maxRank)
	checkRange(c, "stop_timeout", a.StopTimeout, time.Second, time.Hour)
}

// checkLink checks the addresses that only agents of groups need.
func (a *Agent) checkLink(c *checker) {
	if a.LinkAddress == "" {
		if a.Group != "" {
			c.add("link_address", "is missing", "an agent of a group accepts links; write an IP number and a port")
		}
		return
	}
	c.address("link_address", a.LinkAddress)
	if a.Advertise == "" {
		a.Advertise = a.LinkAddress
	}
	c.dialAddress("advertise", a.Advertise)
}
