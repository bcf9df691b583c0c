package config

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
)

// An entry follows the platform, and an agent that cannot reach the platform follows the entry.
func TestDriversFollowConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store, down := objectstore.New(), objectstore.New()
		down.SetFaults(objectstore.Faults{Down: true})
		drivers := map[string]*Driver{}
		var applied []uint64
		add := func(name, peer string, entry bool, store *objectstore.Memory) {
			drivers[name] = NewDriver(DriverOptions{
				Follower: FollowerOptions{Name: name, Entry: entry}, Store: store,
				Send: func(to string, m message.Message) {
					assert.Equal(t, to, peer)
					assert.Assert(t, drivers[peer].HandleMessage(name, m))
				},
				Apply: func(x *Index) {
					if name == "agent" {
						applied = append(applied, x.Revision())
					}
				},
				Report: func(r Report) { t.Error(r) },
			})
		}
		add("entry", "agent", true, store)
		add("agent", "entry", false, down)
		for name, d := range drivers {
			go d.Run(ctx)
			d.Post(PeerUp{map[string]string{"entry": "agent", "agent": "entry"}[name]})
		}
		p := &Publisher{Store: store}
		for n := range 3 {
			_, err := p.Apply(ctx, Edit{Files: zones(fmt.Sprint(n), "a")})
			assert.NilError(t, err)
			time.Sleep(activationBound)
			assert.Equal(t, drivers["agent"].Current().Config().AvailabilityZones[0].Region, fmt.Sprint("r-", n))
		}
		cancel()
		synctest.Wait()
		assert.DeepEqual(t, applied, []uint64{1, 2, 3})
		assert.Assert(t, drivers["entry"].State().Watcher && !drivers["agent"].State().Watcher)
	})
}

// A peer cannot make a process activate a damaged head, a damaged file or files that do
// not merge.
func TestFollowerRejectsDamagedOrInvalidInput(t *testing.T) {
	f := NewFollower(FollowerOptions{Name: "agent-1"}, 0)
	f.Step(0, PeerUp{"e"})
	files := []File{{Name: "a.yaml", Content: []byte("pools: 1\n")}}
	h := &Head{Revision: 3, Files: Refs(files)}
	raw := h.Encode()
	damaged := append([]byte(nil), raw...)
	damaged[len(damaged)-5] ^= 1
	reports := func(effects []Effect) (kinds []ReportKind) {
		for _, e := range effects {
			if r, ok := e.(Report); ok {
				kinds = append(kinds, r.Kind)
			}
		}
		return kinds
	}
	assert.DeepEqual(t, reports(f.Step(1, PeerHead{"e", damaged})), []ReportKind{ReportDamaged})
	assert.Equal(t, len(reports(f.Step(2, PeerHead{"e", raw}))), 0)
	answer := PeerFiles{"e", []message.ConfigFile{{Digest: h.Files[0].Digest, Content: []byte("other")}}}
	assert.DeepEqual(t, reports(f.Step(3, answer)), []ReportKind{ReportDamaged})
	answer.Files[0].Content = files[0].Content
	assert.DeepEqual(t, reports(f.Step(4, answer)), []ReportKind{ReportRejected})
	assert.Equal(t, len(reports(f.Step(5, PeerHead{"e", raw}))), 0)
	assert.Equal(t, f.Revision(), uint64(0))
}

// A configuration larger than one answer is fetched from one peer, without the platform.
func TestLargeConfigurationIsFetchedInParts(t *testing.T) {
	var files []File
	for i := range 12 {
		text := fmt.Sprintf("availability_zones:\n- name: z%d\n  region: r\n# %s\n", i, strings.Repeat("x", 100<<10))
		files = append(files, File{Name: fmt.Sprintf("%02d.yaml", i), Content: []byte(text)})
	}
	head := &Head{Revision: 1, Files: Refs(files)}
	from := NewFollower(FollowerOptions{Name: "from"}, 0)
	from.Step(1, HeadRead{Value: head.Encode()})
	from.Step(2, FilesRead{Files: files})
	assert.Equal(t, from.Revision(), uint64(1))

	to := NewFollower(FollowerOptions{Name: "to"}, 0)
	effects := to.Step(1, PeerUp{"from"})
	answers := 0
	for now := time.Duration(2); to.Revision() == 0 && answers < 20; now++ {
		next := onlyMessage(t, effects)
		sent := onlyMessage(t, from.Step(now, PeerFetch{Peer: "to", Digests: next.(*message.ConfigFetch).Digests}))
		switch m := sent.(type) {
		case *message.ConfigHead:
			effects = to.Step(now, PeerHead{"from", m.Head})
		case *message.ConfigFiles:
			answers++
			effects = to.Step(now, PeerFiles{"from", m.Files})
		}
	}
	assert.Equal(t, to.Revision(), uint64(1))
	assert.Equal(t, answers, 6) // two files of 100 KiB each
}

// onlyMessage returns the message of the single effect, and fails the test if there are
// others, for example a call to the platform.
func onlyMessage(t *testing.T, effects []Effect) message.Message {
	t.Helper()
	assert.Equal(t, len(effects), 1, "%v", effects)
	return effects[0].(SendPeer).Message
}
