package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Index provides lookups of the objects of one Config. It is immutable and safe for
// concurrent use.
type Index struct {
	config        *Config
	organisations map[[digestSize]byte]*Organisation
	services      map[string]*Service
	zones         map[string]*AvailabilityZone
	pools         map[string]*Pool
	drained       map[string]bool
}

// Index returns the index of c, which must not be changed afterwards.
func (c *Config) Index() *Index {
	x := &Index{
		config:        c,
		organisations: make(map[[digestSize]byte]*Organisation, len(c.Organisations)),
		services:      make(map[string]*Service, len(c.Services)),
		zones:         make(map[string]*AvailabilityZone, len(c.AvailabilityZones)),
		pools:         make(map[string]*Pool, len(c.Pools)),
		drained:       make(map[string]bool, len(c.DrainedInstances)),
	}
	for i := range c.Organisations {
		x.addOrganisation(&c.Organisations[i])
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.AvailabilityZones {
		x.zones[c.AvailabilityZones[i].Name] = &c.AvailabilityZones[i]
	}
	for i := range c.Pools {
		x.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	for _, name := range c.DrainedInstances {
		x.drained[name] = true
	}
	return x
}

func (x *Index) addOrganisation(o *Organisation) {
	for _, text := range o.KeyDigests {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != digestSize {
			continue
		}
		x.organisations[[digestSize]byte(raw)] = o
	}
}

// Config returns the indexed configuration.
func (x *Index) Config() *Config { return x.config }

// Revision returns the configuration's revision.
func (x *Index) Revision() uint64 { return x.config.Revision }

// OrganisationByKey returns the organisation that has the API key.
func (x *Index) OrganisationByKey(apiKey string) (*Organisation, bool) {
	o, ok := x.organisations[sha256.Sum256([]byte(apiKey))]
	return o, ok
}

// Organisation returns the organisation with the name.
func (x *Index) Organisation(name string) (*Organisation, bool) {
	for i := range x.config.Organisations {
		if o := &x.config.Organisations[i]; o.Name == name {
			return o, true
		}
	}
	return nil, false
}

// Service returns the service with the name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Pool returns the target pool with the name.
func (x *Index) Pool(name string) (*Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// AvailabilityZone returns the availability zone with the name.
func (x *Index) AvailabilityZone(name string) (*AvailabilityZone, bool) {
	z, ok := x.zones[name]
	return z, ok
}

// AvailabilityZoneDrained reports whether the availability zone accepts no new work.
// An availability zone that the configuration does not contain is not drained.
func (x *Index) AvailabilityZoneDrained(name string) bool {
	z, ok := x.zones[name]
	return ok && z.Drained
}

// InstanceDrained reports whether the agent or entry with the name accepts no new work.
func (x *Index) InstanceDrained(name string) bool { return x.drained[name] }

// Route returns the first route for the method and the path below /SERVICE. If
// none is found, pathKnown reports whether the path has a route for another method.
func (s *Service) Route(method, path string) (route Route, found, pathKnown bool) {
	for _, r := range s.Routes {
		if !matchPath(r.Path, path) {
			continue
		}
		if r.Method == anyMethod || r.Method == method {
			return r, true, true
		}
		pathKnown = true
	}
	return Route{}, false, pathKnown
}

func matchPath(pattern, path string) bool {
	prefix, wild := strings.CutSuffix(pattern, "*")
	if wild {
		return strings.HasPrefix(path, prefix)
	}
	return path == pattern
}
