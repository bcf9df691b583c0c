package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// FuzzTracker runs random operations, three bytes each, on two gateways that exchange evidence,
// also evidence with arbitrary ages.
func FuzzTracker(f *testing.F) {
	f.Add([]byte{0, 128, 1, 128, 128, 2, 3, 0, 1, 7, 0, 200, 2, 0, 1, 4, 0, 1, 135, 0, 1})
	f.Fuzz(func(t *testing.T, ops []byte) {
		gateways := []*Tracker{New(rand.New(rand.NewPCG(1, 0))), New(rand.New(rand.NewPCG(2, 0)))}
		now := time.Duration(0)
		for ; len(ops) >= 3; ops = ops[3:] {
			now += time.Duration(ops[2]) * time.Duration(ops[2]) * 10 * time.Millisecond
			i := int(ops[0] >> 7)
			applyRandom(t, now, gateways[i], gateways[1-i], ops)
			for p, s := range gateways[i].suspects {
				assert.Assert(t, len(s.crashes) > 0, "part %s is a suspect without a crash", p)
			}
		}
	})
}

// applyRandom runs the operation that the first three bytes of op select on tr.
func applyRandom(t *testing.T, now time.Duration, tr, other *Tracker, op []byte) {
	// maxWait is the longest time for which a part stays refused.
	const maxWait = (1 + evidenceJitter) * float64(evidenceTime)
	tr.SetGateways(2)
	parts := []string{fmt.Sprint(op[1] % 5), fmt.Sprint(op[1] / 5 % 7)}
	switch op[0] % 8 {
	case 0, 1:
		tr.RecordCrash(now, uint32(op[2]%40), parts, op[1]&128 != 0)
	case 2:
		tr.RecordAnswer(now-time.Duration(op[1])*time.Millisecond, parts)
	case 3, 4:
		tr.Merge(now, other.Evidence(now))
	case 5:
		tr.ReturnTrial(parts)
	case 6:
		tr.Merge(now, []Evidence{{
			Subject: parts[0], Answered: op[1]&1 != 0, AnsweredMs: int64(int8(op[2])) << 40,
			Crashes: []CrashReport{{Target: uint32(op[1]), AgeMs: int64(int8(op[1])) << 50}},
		}})
	case 7:
		v, wait := tr.Admit(now, parts)
		sent := v == Allowed || v == Trial
		assert.Assert(t, sent == (wait == 0) && wait >= 0 && float64(wait) <= maxWait, "%v, wait %v", v, wait)
	}
}
