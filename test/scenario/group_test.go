//go:build scenario

package scenario

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/standin/ranks"
	"github.com/gentiantrail/gentiantrail/internal/testaddr"
)

// kindRanks is a stand-in for an expert-parallel group.
const kindRanks kind = "ranks"

// groupPool is the pool of the agents of a group.
const groupPool = "grouped-models"

// startGroup starts a group's engines as NAME and an agent for each rank as
// NAME-0 …: start group NAME ZONE RANKS [STAND-IN FLAG…]
func (c *cluster) startGroup(name, zone, count string, flags []string) error {
	n, err := strconv.Atoi(count)
	if err != nil {
		return err
	}
	p := &process{kind: kindRanks, name: name, zone: zone, program: "gentiantrail-standin", args: []string{string(kindRanks)}}
	addrs := make([]string, n)
	for i := range addrs {
		if addrs[i], err = testaddr.Free(); err != nil {
			return err
		}
	}
	p.serves = addrs[0]
	p.args = append(append(p.args, "--listen"), addrs...)
	p.args = append(p.args, flags...)
	if err := c.launch(p, p.serves); err != nil {
		return err
	}
	for i, addr := range addrs {
		if err := c.startRank(name, zone, i, addr); err != nil {
			return err
		}
	}
	return nil
}

// startRank starts the agent of one rank.
func (c *cluster) startRank(group, zone string, rank int, engine string) error {
	platform, err := c.platformFrom(zone)
	if err != nil {
		return err
	}
	linkAddr, err := testaddr.Free()
	if err != nil {
		return err
	}
	admin, err := testaddr.Free()
	if err != nil {
		return err
	}
	var entries []string
	for _, e := range c.ofKind(kindEntry, zone) {
		entries = append(entries, e.advertise)
	}
	name := fmt.Sprintf("%s-%d", group, rank)
	settings := fmt.Sprintf("name: %s\navailability_zone: %s\npool: %s\ntarget_address: %s\nlink_address: %s\n"+
		"admin_address: %s\nplatform_address: %s\nlink_key: %s\ngroup: %s\nrank: %d\n%s",
		name, zone, groupPool, engine, linkAddr, admin, platform, linkKey, group, rank, yamlList("entries", entries))
	p := &process{kind: kindAgent, name: name, zone: zone, program: "gentiantrail-agent", target: group, admin: admin}
	if err := c.writeSettings(p, settings); err != nil {
		return err
	}
	return c.launch(p, "")
}

// cmdRanks watches a group; a step with mixed maps fails every form:
//
//	ranks NAME steps N       until N more steps
//	ranks NAME changes N     until N more changes of the map
//	ranks NAME restart I     start the engine of rank I afresh
//	ranks NAME coordinator replace|freeze|thaw
//	                         kill the agent that coordinates and start it again,
//	                         pause it, or let the paused one go on
func (c *cluster) cmdRanks(args []string) (string, error) {
	if len(args) != 3 {
		return "", errors.New("usage: ranks NAME steps|changes|restart|coordinator ARG")
	}
	p, err := c.process(args[0])
	if err != nil {
		return "", err
	}
	switch args[1] {
	case "steps":
		return p.awaitRecord(args[2], func(r ranks.Record) uint64 { return r.Steps })
	case "changes":
		return p.awaitRecord(args[2], func(r ranks.Record) uint64 { return uint64(r.Changes) })
	case "restart":
		return "", p.restartRank(args[2])
	case "coordinator":
		return c.hitCoordinator(args[0], args[2])
	default:
		return "", fmt.Errorf("unknown form %s", args[1])
	}
}

// awaitRecord waits until a count of the record has grown by more.
func (p *process) awaitRecord(more string, count func(ranks.Record) uint64) (string, error) {
	n, err := strconv.ParseUint(more, 10, 64)
	if err != nil {
		return "", err
	}
	var first, last ranks.Record
	if err := fetch(p.serves, "/admin/record", &first); err != nil {
		return "", err
	}
	err = until(func() error {
		if err := fetch(p.serves, "/admin/record", &last); err != nil {
			return err
		}
		if count(last) < count(first)+n && last.Mixed == 0 {
			return fmt.Errorf("%s: %+v, at first %+v", p.name, last, first)
		}
		return nil
	})
	if err == nil && last.Mixed > 0 {
		err = fmt.Errorf("%s: %d entries into a step with another map", p.name, last.Mixed)
	}
	return fmt.Sprintf("%+v", last), err
}

// restartRank asks the stand-in to start one engine afresh.
func (p *process) restartRank(rank string) error {
	i, err := strconv.Atoi(rank)
	if err != nil || i+2 >= len(p.args) {
		return fmt.Errorf("no rank %s", rank)
	}
	addr := p.args[2+i] // after the subcommand and --listen
	status, _, err := fasthttp.Post(nil, "http://"+addr+"/admin/restart", nil)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// hitCoordinator replaces, freezes or thaws the agent that coordinates a group.
func (c *cluster) hitCoordinator(group, how string) (string, error) {
	if how == "thaw" {
		return c.cmdThaw([]string{c.frozen})
	}
	var found *process
	err := until(func() error {
		for _, p := range c.ofKind(kindAgent, "") {
			if p.target == group && p.coordinates() {
				found = p
				return nil
			}
		}
		return fmt.Errorf("nobody coordinates %s", group)
	})
	if err != nil {
		return "", err
	}
	switch how {
	case "replace":
		if err := found.kill(); err != nil {
			return "", err
		}
		return found.name, found.start()
	case "freeze":
		c.frozen = found.name
		_, err := c.cmdFreeze([]string{found.name})
		return found.name, err
	default:
		return "", fmt.Errorf("unknown fault %s", how)
	}
}

// coordinates reports whether the agent holds its group's lease.
func (p *process) coordinates() bool {
	var state struct {
		Group struct {
			Coordinator bool `json:"coordinator"`
		} `json:"group"`
	}
	return fetch(p.admin, "/debug/state", &state) == nil && state.Group.Coordinator
}
