package priority

import "strconv"

// maxPriority is the largest priority that a level tells apart; larger ones count as equal.
const maxPriority = 255

// maxLevel is the highest level.
var maxLevel = LevelOf(maxPriority, maxPriority, true)

// LevelOf returns the level of a request; a lower level is more important. priority is the priority
// of the organisation, or that of the route if the organisation has none. Requests of the same
// priority are ordered by that of their route. Callers that return after a refusal are behind new
// ones: their answer is late already, while that of a new request can still be in time.
func LevelOf(priority, routePriority int, returning bool) int {
	level := 2 * (clamp(priority)*(maxPriority+1) + clamp(routePriority))
	if returning {
		level++
	}
	return level
}

func clamp(priority int) int { return min(max(priority, 0), maxPriority) }

// Returning reports whether a level is that of callers that return after a refusal.
func Returning(level int) bool { return level%2 != 0 }

// LevelName returns a level's name for logs and metrics: the priority, that of the route, and
// whether the caller returns.
func LevelName(level int) string {
	name := strconv.Itoa(level/2/(maxPriority+1)) + "." + strconv.Itoa(level/2%(maxPriority+1))
	if Returning(level) {
		name += "-returning"
	}
	return name
}
