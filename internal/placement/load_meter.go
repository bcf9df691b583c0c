package placement

import (
	"slices"
	"time"
)

const (
	// loadSampleInterval is the least time between two samples of a group's load, which sum up
	// the work of all its ranks.
	loadSampleInterval = 100 * time.Millisecond
	// loadWindow is the time over which samples are kept. Their mean age is that of other
	// gateways' reports (100 to 900 ms), so that own and reported work are of the same time.
	loadWindow = time.Second
	// equalPart is the part of a group's limit that is divided equally while the group is full, so
	// that a gateway without requests gets some too.
	equalPart = 0.1
	// idleWeight is the weight of a gateway without work in the division of free slots. Counting
	// it as a full one would leave slots unused for tens of seconds if few of many gateways have
	// requests; not counting it would let all of them take the same slots after an idle time.
	idleWeight = 0.25
	// roundingPeriod is the time for which the fraction of a limit is rounded the same way. It is
	// the usual length of a stream: if the fraction were rounded anew for each request, repeated
	// attempts would fill the limit up to the next integer.
	roundingPeriod = 2 * time.Second
)

// loadSample is the work of a group's ranks at a time, in requests.
type loadSample struct {
	at time.Duration
	// own are this process's requests, others those of other processes, and running those of
	// both that do not wait for a slot.
	own, others, running int
	slots                int
	// gateways is the number of gateways that divide free slots; idle ones count idleWeight.
	gateways float64
}

// loadMeter keeps the samples of a group of the last loadWindow, the newest one last.
type loadMeter struct {
	samples []loadSample
	// part and urgentPart are this gateway's parts of the requests that the group gets, for
	// urgent requests too, as of the newest sample. rounding is added before a fraction is cut off.
	part, urgentPart, rounding float64
}

// due reports whether a sample must be added.
func (m *loadMeter) due(now time.Duration) bool {
	n := len(m.samples)
	return n == 0 || now-m.samples[n-1].at >= loadSampleInterval
}

func (m *loadMeter) add(sample loadSample) {
	m.samples = slices.DeleteFunc(m.samples, func(s loadSample) bool { return sample.at-s.at >= loadWindow })
	m.samples = append(m.samples, sample)
}

// meanRunning returns the mean of the running requests as a fraction of the slots.
func (m *loadMeter) meanRunning() float64 {
	running, slots := 0, 0
	for _, s := range m.samples {
		running, slots = running+s.running, slots+s.slots
	}
	return float64(running) / float64(max(1, slots))
}

// partOf returns this gateway's part of the requests that a group gets at a share of its slots.
// If each gateway took all slots that seem to be free, all would take the same ones until the
// next reports. Each therefore keeps what it had when the others' reports were made, and gets
// only its part of the slots that were free then; if there were none, all decrease in proportion.
// The parts of all gateways then sum up to about the limit, however old the reports are.
func (m *loadMeter) partOf(share float64) float64 {
	own, most := 0.0, 0
	for _, s := range m.samples {
		own += float64(s.own) / float64(len(m.samples))
		most = max(most, s.own)
	}
	last := m.samples[len(m.samples)-1]
	limit, total := share*float64(last.slots), own+float64(last.others)
	// A gateway keeps the most requests that it had: with the mean, those that end before the
	// next one arrives would leave slots unused at every gateway.
	if total < limit {
		return float64(most) + (limit-total)/last.gateways
	}
	return limit * ((1-equalPart)*float64(most)/total + equalPart/last.gateways)
}

// sampleLoad adds a sample of a group's load and updates this gateway's parts if that is due.
func (b *Balancer) sampleLoad(now time.Duration, name string, g *group) {
	if !g.loads.due(now) {
		return
	}
	sample := loadSample{at: now, gateways: b.dividingGateways(now)}
	for _, s := range b.targets {
		if b.groupOf(s) == g {
			load := s.load(now, b)
			sample.own += s.inFlight
			sample.others += load - s.inFlight
			sample.running += min(load, s.Slots)
			sample.slots += s.Slots
		}
	}
	g.loads.add(sample)
	share := g.model.share(now)
	g.loads.part, g.loads.urgentPart = g.loads.partOf(share), g.loads.partOf(share+urgentShare)
	g.loads.rounding = roundingOf(now, TargetKey(b.name+" "+name))
}

// dividingGateways returns the number of gateways, this one included, with idleWeight for those
// that report no work.
func (b *Balancer) dividingGateways(now time.Duration) float64 {
	b.updateMembers(now)
	busy := 0
	for _, p := range b.peers {
		if p.counted && len(p.work) > 0 {
			busy++
		}
	}
	return 1 + float64(busy) + idleWeight*float64(max(0, len(b.members)-busy))
}

// hasPartLeft reports whether this gateway has less than its part of the group's requests.
func (g *group) hasPartLeft(r *Request) bool {
	part := g.loads.part
	if r.Urgent {
		part = g.loads.urgentPart
	}
	return g.inFlight < max(1, int(part*(1+r.headroom)+g.loads.rounding))
}

// roundingOf returns the number in [0, 1) that is added to a limit before its fraction is cut off.
// It is spread evenly over keys, and all gateways use about the same for a rank.
func roundingOf(now time.Duration, key uint32) float64 {
	// The step is 2^32 divided by the golden ratio, which spreads the periods evenly.
	const step = 0x9E3779B9
	return float64(key+uint32(now/roundingPeriod)*step) / (1 << 32)
}
