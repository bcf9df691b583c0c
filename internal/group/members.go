package group

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// Member is the name and address of one rank's agent, as stored on the platform.
type Member struct {
	Rank    int    `json:"rank"`
	Name    string `json:"name"`
	Address string `json:"address"`
}

// watchMembers writes this rank's member object once and, if the agent competes for
// the lease, reads the objects of the group's members periodically until ctx ends.
func (d *Driver) watchMembers(ctx context.Context, ranks int) {
	written := false
	for ctx.Err() == nil {
		if !written {
			written = d.writeMember(ctx) == nil
		}
		if d.isCandidate() {
			d.refreshMembers(ctx, ranks)
		}
		wait := membersInterval
		if !written {
			wait = startRetry
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// refreshMembers reads the group's members, to which a coordinator needs links.
func (d *Driver) refreshMembers(ctx context.Context, ranks int) {
	if members, err := d.readMembers(ctx, ranks); err == nil {
		d.tryDeliver(membersRead{members: members})
	}
}

// writeMember writes this rank's member object. It replaces the object that an
// earlier agent of the rank has written.
func (d *Driver) writeMember(ctx context.Context) error {
	value, err := json.Marshal(Member{Rank: d.opts.Rank, Name: d.opts.Identity.Name, Address: d.opts.Identity.Address})
	if err != nil {
		return err
	}
	_, err = d.opts.Store.Put(ctx, memberPrefix(d.opts.Group)+strconv.Itoa(d.opts.Rank), value, platform.AnyVersion)
	return err
}

func (d *Driver) readMembers(ctx context.Context, ranks int) ([]Member, error) {
	list, err := d.opts.Store.List(ctx, memberPrefix(d.opts.Group))
	if err != nil {
		return nil, err
	}
	members := make([]Member, 0, len(list.Objects))
	for _, o := range list.Objects {
		var m Member
		if json.Unmarshal(o.Value, &m) == nil && m.Rank >= 0 && m.Rank < ranks {
			members = append(members, m)
		}
	}
	return members, nil
}

func memberPrefix(group string) string { return "groups/" + group + "/" }

// holderID returns the name of one incarnation of an agent in lease objects.
func holderID(id message.Identity) string {
	return fmt.Sprintf("%s-%x", id.Name, id.Incarnation)
}

func newIncarnation() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return binary.LittleEndian.Uint64(raw[:]) | 1
}
