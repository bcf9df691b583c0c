package settings

// Mapper contains the settings of gentiantrail-mapper.
type Mapper struct {
	// Name is the instance's unique name. Required.
	Name string `yaml:"name"`
	// AvailabilityZone is the name of the instance's availability zone. Required.
	AvailabilityZone string `yaml:"availability_zone"`
	// TargetAddress is the IP address and port of the model engine on the instance. Required.
	TargetAddress string `yaml:"target_address"`
	// Service is the name of the engine's service. Required.
	Service string `yaml:"service"`
	// PeerAddress is the IP address and UDP port on which mappers exchange messages; the
	// port is the same on all instances. Required.
	PeerAddress string `yaml:"peer_address"`
	// AdminAddress is the IP address and port for metrics and the state dump. Required.
	AdminAddress string `yaml:"admin_address"`
	// StoreAddress is the IP address and port of the platform's store. Required.
	StoreAddress string `yaml:"store_address"`
	// Memory is the process's memory in MiB. Range 16 to 65536.
	Memory int `yaml:"memory"`
}

// LoadMapper reads and checks the mapper settings at path. The error is an *Error.
func LoadMapper(path string) (*Mapper, error) {
	m := &Mapper{}
	if err := load(path, m); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Mapper) check(c *checker) {
	c.name("name", m.Name)
	c.name("availability_zone", m.AvailabilityZone)
	c.name("service", m.Service)
	c.address("target_address", m.TargetAddress)
	c.address("peer_address", m.PeerAddress)
	c.address("admin_address", m.AdminAddress)
	c.address("store_address", m.StoreAddress)
	checkRange(c, "memory", m.Memory, 16, 65536)
}
