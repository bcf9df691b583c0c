package config

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// Upper bounds of configuration values.
const (
	maxWeight        = 1000
	maxQueue         = 65536
	maxServiceTime   = 10 * time.Minute
	MaxServiceBody   = 4 * MiB
	maxRoutePriority = 10
	maxRanks         = 1024
	maxLayers        = 1024
	maxExperts       = 4096
	maxExpertSize    = 64 * GiB
)

// digestSize is the number of bytes of a SHA-256 digest.
const digestSize = 32

// checkRange returns a problem if a field's value is outside low to high.
func checkRange[V cmp.Ordered, T any](o *object[T], path string, v, low, high V) []Problem {
	if v >= low && v <= high {
		return nil
	}
	text := fmt.Sprintf("%s is %v, outside its range", path, v)
	return []Problem{o.problem(path, text, fmt.Sprintf("write a value from %v to %v", low, high))}
}

func checkOrganisations(list []*object[Organisation]) []Problem {
	var problems []Problem
	owner := map[string]string{}
	for _, o := range list {
		problems = append(problems, checkRange(o, "weight", o.value.Weight, 1, maxWeight)...)
		problems = append(problems, checkRange(o, "max_waiting", o.value.MaxWaiting, 1, maxQueue)...)
		if len(o.value.KeyDigests) == 0 {
			problems = append(problems, o.problem("key_digests", "organisation "+o.value.Name+" has no key digest", "write key_digests with the hex SHA-256 digest of each API key"))
		}
		for i, digest := range o.value.KeyDigests {
			path := fmt.Sprintf("key_digests[%d]", i)
			if !isDigest(digest) {
				problems = append(problems, o.problem(path, "the key digest is not a hex SHA-256 digest", "write 64 lower-case hexadecimal digits, as printed by: printf %s KEY | sha256sum"))
				continue
			}
			if other, ok := owner[digest]; ok {
				problems = append(problems, o.problem(path, "the key digest already belongs to organisation "+other, "give each organisation its own key"))
			}
			owner[digest] = o.value.Name
		}
	}
	return problems
}

func isDigest(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == digestSize && s == strings.ToLower(s)
}

func checkZone(o *object[AvailabilityZone]) []Problem {
	if namePattern.MatchString(o.value.Region) {
		return nil
	}
	return []Problem{o.problem("region", fmt.Sprintf("region %q is not usable", o.value.Region), nameFix)}
}

func checkPool(o *object[Pool]) []Problem {
	p := &o.value
	problems := checkRange(o, "limit", p.Limit, 1, maxQueue)
	if len(problems) == 0 {
		problems = checkRange(o, "cold_limit", p.ColdLimit, 1, p.Limit)
	}
	problems = append(problems, checkRange(o, "queue_limit", p.QueueLimit, 0, maxQueue)...)
	if p.Kind != TargetModel && p.Kind != TargetPlain {
		problems = append(problems, o.problem("kind", fmt.Sprintf("pool kind %q is unknown", p.Kind), "write model or plain"))
	}
	if p.Group != nil && p.Kind == TargetPlain {
		problems = append(problems, o.problem("group", "a pool of kind plain cannot have a group", "remove group, or write kind: model"))
	}
	if p.Group != nil {
		problems = append(problems, checkGroup(o, p.Group)...)
	}
	return problems
}

func checkGroup(o *object[Pool], g *Group) []Problem {
	problems := checkRange(o, "group.ranks", g.Ranks, 2, maxRanks)
	problems = append(problems, checkRange(o, "group.layers", g.Layers, 1, maxLayers)...)
	problems = append(problems, checkRange(o, "group.experts", g.Experts, 1, maxExperts)...)
	problems = append(problems, checkRange(o, "group.slots_per_rank", g.SlotsPerRank, 1, maxExperts)...)
	problems = append(problems, checkRange(o, "group.expert_size", g.ExpertSize, 1, maxExpertSize)...)
	problems = append(problems, checkRange(o, "group.weight_rate", g.WeightRate, MiB, 64*GiB)...)
	problems = append(problems, checkRange(o, "group.rebalance_interval", g.RebalanceInterval, time.Second, time.Hour)...)
	if len(problems) == 0 && g.Ranks*g.SlotsPerRank < g.Experts {
		text := fmt.Sprintf("%d ranks with %d slots cannot hold %d experts", g.Ranks, g.SlotsPerRank, g.Experts)
		fix := fmt.Sprintf("write slots_per_rank: %d or more", (g.Experts+g.Ranks-1)/g.Ranks)
		problems = append(problems, o.problem("group.slots_per_rank", text, fix))
	}
	return problems
}
