package config

import (
	"regexp"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/config/strictyaml"
)

// Defaults of optional fields.
const (
	defaultWeight     = 1
	defaultMaxWaiting = 256
	defaultTimeout    = 30 * time.Second
	defaultMaxTimeout = 120 * time.Second
	defaultMaxBody    = 1 * MiB
)

// queueLimitUnset marks a pool without a queue limit, which then equals the pool's limit.
const queueLimitUnset = -1

// namePattern is the pattern that every object's name matches.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

const nameFix = "use 1 to 63 lower-case letters, digits and hyphens, beginning with a letter"

// merger contains the objects of all kinds during a merge.
type merger struct {
	organisations section[Organisation]
	services      section[Service]
	zones         section[AvailabilityZone]
	pools         section[Pool]
}

func newMerger() *merger {
	return &merger{
		organisations: section[Organisation]{
			kind:     "organisation",
			defaults: func() Organisation { return Organisation{Weight: defaultWeight, MaxWaiting: defaultMaxWaiting} },
			setName:  func(o *Organisation, name string) { o.Name = name },
			objects:  map[string]*object[Organisation]{},
		},
		services: section[Service]{
			kind: "service",
			defaults: func() Service {
				return Service{DefaultTimeout: defaultTimeout, MaxTimeout: defaultMaxTimeout, MaxBody: defaultMaxBody}
			},
			setName: func(s *Service, name string) { s.Name = name },
			objects: map[string]*object[Service]{},
		},
		zones: section[AvailabilityZone]{
			kind:     "availability zone",
			defaults: func() AvailabilityZone { return AvailabilityZone{} },
			setName:  func(z *AvailabilityZone, name string) { z.Name = name },
			objects:  map[string]*object[AvailabilityZone]{},
		},
		pools: section[Pool]{
			kind:     "pool",
			defaults: func() Pool { return Pool{QueueLimit: queueLimitUnset} },
			setName:  func(p *Pool, name string) { p.Name = name },
			objects:  map[string]*object[Pool]{},
		},
	}
}

// Merge merges files in the order of their names and checks the result, which is
// nil if there is any problem.
//
// An object is defined by the first file that names it. A later file, or a later
// item in the same file, may change it with "override: true": the fields that
// the item sets replace the earlier ones, and lists and nested mappings are replaced
// as a whole. "remove: true" with only the name removes the object, which may then be
// defined again. A second definition without either is a problem.
func Merge(files []File) (*Config, []Problem) {
	sorted, problems := sortedFiles(files)
	if len(problems) > 0 {
		return nil, problems
	}
	m := newMerger()
	for _, f := range sorted {
		problems = append(problems, m.addFile(f)...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return m.finish()
}

func (m *merger) addFile(f File) []Problem {
	fields, problems := strictyaml.Parse(f.Name, f.Content)
	if len(problems) > 0 {
		return problems
	}
	for _, field := range fields {
		problems = append(problems, m.addSection(f.Name, field)...)
	}
	return problems
}

func (m *merger) addSection(file string, f strictyaml.Field) []Problem {
	switch f.Name {
	case "organisations":
		return m.organisations.add(file, f)
	case "services":
		return m.services.add(file, f)
	case "availability_zones":
		return m.zones.add(file, f)
	case "pools":
		return m.pools.add(file, f)
	case "drained_instances":
		return []Problem{{File: file, Line: f.Line, Text: "instances cannot be drained in files", Fix: "remove the field and use \"gentiantrailctl drain instance NAME\""}}
	default:
		return []Problem{{File: file, Line: f.Line, Text: "unknown field " + f.Name, Fix: "use one of: organisations, services, availability_zones, pools"}}
	}
}

// finish checks the merged objects and returns the configuration.
func (m *merger) finish() (*Config, []Problem) {
	organisations, services := m.organisations.sorted(), m.services.sorted()
	zones, pools := m.zones.sorted(), m.pools.sorted()
	for _, p := range pools {
		if p.value.QueueLimit == queueLimitUnset {
			p.value.QueueLimit = p.value.Limit
		}
		if p.value.Group != nil {
			p.value.Group.setDefaults()
		}
	}
	problems := checkOrganisations(organisations)
	for _, s := range services {
		problems = append(problems, checkService(s, m.pools.objects)...)
	}
	for _, z := range zones {
		problems = append(problems, checkZone(z)...)
	}
	for _, p := range pools {
		problems = append(problems, checkPool(p)...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return &Config{
		Organisations:     values(organisations),
		Services:          values(services),
		AvailabilityZones: values(zones),
		Pools:             values(pools),
	}, nil
}
