//go:build scenario

package scenario

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/standin/forwarder"
	"github.com/gentiantrail/gentiantrail/internal/testaddr"
)

// Pools of the base configuration in testdata/config.
const (
	draftingPool = "drafting-models"
	permitPool   = "permit-servers"
)

// cmdStart starts one process, or a whole availability zone:
//
//	start platform
//	start engine NAME ZONE [STAND-IN FLAG…]
//	start plain NAME ZONE
//	start entry NAME ZONE [STOP-TIMEOUT]
//	start agent NAME ZONE POOL TARGET [STOP-TIMEOUT]
//	start group NAME ZONE RANKS [STAND-IN FLAG…]
//	start zone ZONE [entries=N] [drafting=N] [permits=N] [STAND-IN FLAG…]
func (c *cluster) cmdStart(args []string) (string, error) {
	switch {
	case len(args) == 1 && args[0] == "platform":
		return "", c.startPlatform()
	case len(args) >= 3 && args[0] == "engine":
		return "", c.startStandin(kindEngine, args[1], args[2], args[3:])
	case len(args) == 3 && args[0] == "plain":
		return "", c.startStandin(kindPlain, args[1], args[2], nil)
	case (len(args) == 3 || len(args) == 4) && args[0] == "entry":
		return "", c.startEntry(args[1], args[2], args[3:]...)
	case (len(args) == 5 || len(args) == 6) && args[0] == "agent":
		return "", c.startAgent(args[1], args[2], args[3], args[4], args[5:]...)
	case len(args) >= 4 && args[0] == "group":
		return "", c.startGroup(args[1], args[2], args[3], args[4:])
	case len(args) >= 2 && args[0] == "zone":
		return "", c.startZone(args[1], args[2:])
	default:
		return "", errors.New("usage: start platform|engine|plain|entry|agent|group|zone …")
	}
}

// startZone starts the processes of an availability zone: entries ZONE-entry-1 …, agents
// ZONE-drafting-1 … and ZONE-permits-1 …, and for each agent a stand-in target, named
// like the agent with the suffix -target.
func (c *cluster) startZone(zone string, args []string) error {
	counts := map[string]int{"entries": 1, "drafting": 0, "permits": 0}
	for len(args) > 0 {
		name, value, ok := strings.Cut(args[0], "=")
		n, err := strconv.Atoi(value)
		if _, known := counts[name]; !ok || !known || err != nil {
			break
		}
		counts[name], args = n, args[1:]
	}
	for i := range counts["entries"] {
		if err := c.startEntry(fmt.Sprintf("%s-entry-%d", zone, i+1), zone); err != nil {
			return err
		}
	}
	for i := range counts["drafting"] {
		name := fmt.Sprintf("%s-drafting-%d", zone, i+1)
		if err := c.startTarget(kindEngine, name, zone, draftingPool, args); err != nil {
			return err
		}
	}
	for i := range counts["permits"] {
		name := fmt.Sprintf("%s-permits-%d", zone, i+1)
		if err := c.startTarget(kindPlain, name, zone, permitPool, nil); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startTarget(k kind, name, zone, pool string, args []string) error {
	if err := c.startStandin(k, name+"-target", zone, args); err != nil {
		return err
	}
	return c.startAgent(name, zone, pool, name+"-target")
}

func (c *cluster) startPlatform() error {
	if err := c.startStandin(kindPlatform, "platform", "", nil); err != nil {
		return err
	}
	c.platformAddr = c.processes["platform"].serviceAddr
	return nil
}

func (c *cluster) startStandin(k kind, name, zone string, args []string) error {
	p := &process{kind: k, name: name, zone: zone, program: "gentiantrail-standin"}
	var err error
	if p.serviceAddr, err = testaddr.Free(); err != nil {
		return err
	}
	p.args = append([]string{string(k), "--listen", p.serviceAddr}, args...)
	return c.launch(p, p.serviceAddr)
}

// launch starts a new process and, unless addr is empty, waits until it listens on addr.
func (c *cluster) launch(p *process, addr string) error {
	if c.processes[p.name] != nil {
		return fmt.Errorf("process %s was started already", p.name)
	}
	p.logPath = filepath.Join(c.dir, p.name+".log")
	if err := p.start(); err != nil {
		return err
	}
	c.processes[p.name] = p
	c.startOrder = append(c.startOrder, p.name)
	if addr == "" {
		return nil
	}
	return p.waitListening(addr)
}

// platformAddrFor returns the address at which an availability zone reaches the platform.
// It leads through a forwarder, so that scripts can cut the zone off.
func (c *cluster) platformAddrFor(zone string) (string, error) {
	if c.platformAddr == "" {
		return "", errors.New("platform not started; use start platform first")
	}
	if addr := c.platformAddrByZone[zone]; addr != "" {
		return addr, nil
	}
	ln, err := testaddr.Listen()
	if err != nil {
		return "", err
	}
	c.network.ForwardFrom(ln, forwarder.Names{zone}, c.platformAddr, forwarder.Names{"platform"})
	c.platformAddrByZone[zone] = ln.Addr().String()
	return c.platformAddrByZone[zone], nil
}

func (c *cluster) startEntry(name, zone string, stopTimeout ...string) error {
	platform, err := c.platformAddrFor(zone)
	if err != nil {
		return err
	}
	addrs := make([]string, 3)
	for i := range addrs {
		if addrs[i], err = testaddr.Free(); err != nil {
			return err
		}
	}
	listen, linkAddr, admin := addrs[0], addrs[1], addrs[2]
	ln, err := testaddr.Listen()
	if err != nil {
		return err
	}
	forwarded := ln.Addr().String()
	c.network.ForwardLinks(ln, linkAddr, forwarder.Names{name, zone})
	var peers []string
	for _, e := range c.ofKind(kindEntry, "") {
		peers = append(peers, e.advertiseAddr)
	}
	settings := fmt.Sprintf("name: %s\navailability_zone: %s\nlisten: %s\nlink_address: %s\nadvertise: %s\n"+
		"admin_address: %s\nplatform_address: %s\nlink_key: %s\n%s",
		name, zone, listen, linkAddr, forwarded, admin, platform, linkKey, yamlList("peers", peers))
	for _, d := range stopTimeout {
		settings += "limits:\n  stop_timeout: " + d + "\n"
	}
	p := &process{
		kind: kindEntry, name: name, zone: zone, program: "gentiantrail-entry",
		serviceAddr: listen, linkAddr: linkAddr, advertiseAddr: forwarded, adminAddr: admin,
	}
	if err := c.writeSettings(p, settings); err != nil {
		return err
	}
	if err := c.launch(p, listen); err != nil {
		return err
	}
	c.balanceAll()
	return nil
}

func (c *cluster) startAgent(name, zone, pool, target string, stopTimeout ...string) error {
	platform, err := c.platformAddrFor(zone)
	if err != nil {
		return err
	}
	t, err := c.process(target)
	if err != nil {
		return err
	}
	var entries []string
	for _, e := range c.ofKind(kindEntry, zone) {
		entries = append(entries, e.advertiseAddr)
	}
	admin, err := testaddr.Free()
	if err != nil {
		return err
	}
	settings := fmt.Sprintf("name: %s\navailability_zone: %s\npool: %s\ntarget_address: %s\n"+
		"admin_address: %s\nplatform_address: %s\nlink_key: %s\n%s",
		name, zone, pool, t.serviceAddr, admin, platform, linkKey, yamlList("entries", entries))
	for _, d := range stopTimeout {
		settings += "stop_timeout: " + d + "\n"
	}
	p := &process{
		kind: kindAgent, name: name, zone: zone, program: "gentiantrail-agent",
		target: target, adminAddr: admin,
	}
	if err := c.writeSettings(p, settings); err != nil {
		return err
	}
	return c.launch(p, "")
}

func (c *cluster) writeSettings(p *process, text string) error {
	path := filepath.Join(c.dir, p.name+".yaml")
	p.args = []string{"--settings", path}
	return os.WriteFile(path, []byte(text), 0o600)
}

func yamlList(key string, items []string) string {
	if len(items) == 0 {
		return ""
	}
	return key + ":\n- " + strings.Join(items, "\n- ") + "\n"
}

// balanceAll puts all started entries into service at the load balancer.
func (c *cluster) balanceAll() {
	var addrs []string
	for _, e := range c.ofKind(kindEntry, "") {
		addrs = append(addrs, e.serviceAddr)
	}
	c.balancer.Set(addrs...)
}

// probeInterval is the period and the timeout of the load balancer's readiness probes.
const probeInterval = 100 * time.Millisecond

// followReadiness starts to probe the entries and keeps only the ready ones in service at
// the load balancer, until the script ends.
func (c *cluster) followReadiness() {
	entries := c.ofKind(kindEntry, "")
	c.wg.Go(func() {
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		for {
			var ready []string
			for _, e := range entries {
				status, _, err := fasthttp.GetTimeout(nil, "http://"+e.adminAddr+"/readyz", probeInterval)
				if err == nil && status == fasthttp.StatusOK {
					ready = append(ready, e.serviceAddr)
				}
			}
			c.balancer.Set(ready...)
			select {
			case <-ticker.C:
			case <-c.closing:
				return
			}
		}
	})
}

// cmdBalance sets the entries to which the platform's load balancer sends requests:
// balance NAME…, balance all, or balance ready, which from then on follows the
// readiness of the entries.
func (c *cluster) cmdBalance(args []string) (string, error) {
	if slices.Equal(args, []string{"ready"}) {
		c.followReadiness()
		return "", nil
	}
	if slices.Equal(args, []string{"all"}) {
		c.balanceAll()
		return "", nil
	}
	var addrs []string
	for _, name := range args {
		p, err := c.process(name)
		if err != nil {
			return "", err
		}
		addrs = append(addrs, p.serviceAddr)
	}
	c.balancer.Set(addrs...)
	return "", nil
}
