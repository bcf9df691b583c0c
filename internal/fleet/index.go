package fleet

import (
	"cmp"
	"slices"
	"strings"
)

// Index looks up routes, services and organisations of one Config. It is immutable.
type Index struct {
	Config *Config
	// routes contains the routes of each host, longest prefix first.
	routes        map[string][]*Route
	services      map[string]*Service
	organisations map[string]*Organisation
	// levels contains the priority levels of each service.
	levels map[string][]int
}

// NewIndex returns an index of c, which must not be changed afterwards.
func NewIndex(c *Config) *Index {
	x := &Index{
		Config: c, routes: map[string][]*Route{},
		services: map[string]*Service{}, organisations: map[string]*Organisation{},
		levels: map[string][]int{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		x.routes[host] = append(x.routes[host], r)
	}
	for _, routes := range x.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range c.Services {
		name := c.Services[i].Name
		x.services[name], x.levels[name] = &c.Services[i], c.PriorityLevels(name)
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			x.organisations[key] = &c.Organisations[i]
		}
	}
	return x
}

// Route returns the host's route with the longest prefix of path.
func (x *Index) Route(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range x.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// HasLevels reports whether routes of different priorities lead to the service with the name, and
// the service has model engines. Requests to plain services are too short to be worth an order.
func (x *Index) HasLevels(service string) bool {
	s := x.services[service]
	return s != nil && s.Engine != nil && len(x.levels[service]) > 1
}

// LeveledServices returns the services that have levels.
func (x *Index) LeveledServices() map[string]bool {
	leveled := make(map[string]bool)
	for name := range x.services {
		if x.HasLevels(name) {
			leveled[name] = true
		}
	}
	return leveled
}

// Organisation returns the organisation with the API key.
func (x *Index) Organisation(key string) (*Organisation, bool) {
	o, ok := x.organisations[key]
	return o, ok
}

// NeedsKeys reports whether requests need an API key.
func (x *Index) NeedsKeys() bool { return len(x.Config.Organisations) > 0 }

// PickService chooses a service of the route's split by weight; point is a random number
// from a uniform distribution over [0, 1).
func (r *Route) PickService(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}
