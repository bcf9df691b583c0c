package config

import "time"

// Defaults of a group.
const (
	defaultWeightRate        = 1 * GiB
	defaultRebalanceInterval = time.Minute
)

// setDefaults sets the default values of fields that the files omit.
func (g *Group) setDefaults() {
	if g.WeightRate == 0 {
		g.WeightRate = defaultWeightRate
	}
	if g.RebalanceInterval == 0 {
		g.RebalanceInterval = defaultRebalanceInterval
	}
}
