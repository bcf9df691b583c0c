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

// kindRanks is the kind of a stand-in for the engines of a lock-step group.
const kindRanks kind = "ranks"

// groupPool is the pool that the agents of a group belong to.
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
	p.serviceAddr = addrs[0]
	p.args = append(append(p.args, "--listen"), addrs...)
	p.args = append(p.args, flags...)
	if err := c.launch(p, p.serviceAddr); err != nil {
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
	platform, err := c.platformAddrFor(zone)
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
		entries = append(entries, e.advertiseAddr)
	}
	name := fmt.Sprintf("%s-%d", group, rank)
	settings := fmt.Sprintf("name: %s\navailability_zone: %s\npool: %s\ntarget_address: %s\nlink_address: %s\n"+
		"admin_address: %s\nplatform_address: %s\nlink_key: %s\ngroup: %s\nrank: %d\n%s",
		name, zone, groupPool, engine, linkAddr, admin, platform, linkKey, group, rank, yamlList("entries", entries))
	p := &process{kind: kindAgent, name: name, zone: zone, program: "gentiantrail-agent", target: group, adminAddr: admin}
	if err := c.writeSettings(p, settings); err != nil {
		return err
	}
	return c.launch(p, "")
}

// cmdRanks waits for progress of a group or injects a fault. The waits fail if the ranks
// entered a step with different expert maps:
//
//	ranks NAME steps N       wait for N more steps
//	ranks NAME changes N     wait for N more changes of the expert map
//	ranks NAME restart I     restart the engine of rank I
//	ranks NAME coordinator replace|freeze|thaw
//	                         kill and restart the agent that is the coordinator,
//	                         pause it, or resume the paused one
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
		return p.waitForRecord(args[2], func(r ranks.Record) uint64 { return r.Steps })
	case "changes":
		return p.waitForRecord(args[2], func(r ranks.Record) uint64 { return uint64(r.Changes) })
	case "restart":
		return "", p.restartRank(args[2])
	case "coordinator":
		return c.disturbCoordinator(args[0], args[2])
	default:
		return "", fmt.Errorf("unknown subcommand %s, want steps, changes, restart or coordinator", args[1])
	}
}

// waitForRecord waits until a counter of the group's record has grown by increase. It fails
// if the record reports entries into a step with mixed maps.
func (p *process) waitForRecord(increase string, count func(ranks.Record) uint64) (string, error) {
	n, err := strconv.ParseUint(increase, 10, 64)
	if err != nil {
		return "", err
	}
	var first, last ranks.Record
	if err := fetchJSON(p.serviceAddr, "/admin/record", &first); err != nil {
		return "", err
	}
	err = waitUntil(func() error {
		if err := fetchJSON(p.serviceAddr, "/admin/record", &last); err != nil {
			return err
		}
		if count(last) < count(first)+n && last.Mixed == 0 {
			return fmt.Errorf("%s: record %+v, initially %+v", p.name, last, first)
		}
		return nil
	})
	if err == nil && last.Mixed > 0 {
		err = fmt.Errorf("%s: %d entries into a step with a different map", p.name, last.Mixed)
	}
	return fmt.Sprintf("%+v", last), err
}

// restartRank asks the stand-in to restart the engine of one rank.
func (p *process) restartRank(rank string) error {
	i, err := strconv.Atoi(rank)
	if err != nil || i+2 >= len(p.args) {
		return fmt.Errorf("unknown rank %s", rank)
	}
	addr := p.args[2+i] // after the subcommand and --listen
	status, _, err := fasthttp.Post(nil, "http://"+addr+"/admin/restart", nil)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("restart of engine: status %d, want 200", status)
	}
	return err
}

// disturbCoordinator applies replace, freeze or thaw to the agent that coordinates a group.
func (c *cluster) disturbCoordinator(group, action string) (string, error) {
	if action == "thaw" {
		return c.cmdThaw([]string{c.frozenCoordinator})
	}
	var coordinator *process
	err := waitUntil(func() error {
		for _, p := range c.ofKind(kindAgent, "") {
			if p.target == group && p.isCoordinator() {
				coordinator = p
				return nil
			}
		}
		return fmt.Errorf("group %s has no coordinator", group)
	})
	if err != nil {
		return "", err
	}
	switch action {
	case "replace":
		if err := coordinator.kill(); err != nil {
			return "", err
		}
		return coordinator.name, coordinator.start()
	case "freeze":
		c.frozenCoordinator = coordinator.name
		_, err := c.cmdFreeze([]string{coordinator.name})
		return coordinator.name, err
	default:
		return "", fmt.Errorf("unknown coordinator fault %s, want replace, freeze or thaw", action)
	}
}

// isCoordinator reports whether the agent coordinates its group, that is, holds the
// group's lease.
func (p *process) isCoordinator() bool {
	var state struct {
		Group struct {
			Coordinator bool `json:"coordinator"`
		} `json:"group"`
	}
	return fetchJSON(p.adminAddr, "/debug/state", &state) == nil && state.Group.Coordinator
}
