package config

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	zoneFile = "availability_zones:\n- name: z\n  region: r\n"
	poolFile = "pools:\n- name: p\n  kind: model\n  limit: 8\n  cold_limit: 2\n"
	svcFile  = "services:\n- name: s\n  pool: p\n  routes:\n  - method: POST\n    path: /x\n"
)

func digest(c string) string { return strings.Repeat(c, 64) }

func folder(texts ...string) []File {
	var files []File
	for i, text := range texts {
		files = append(files, File{Name: fmt.Sprintf("%02d.yaml", i), Content: []byte(text)})
	}
	return files
}

func TestExamplesAreValid(t *testing.T) {
	for _, dir := range []string{"seri-kenanga", "talaan"} {
		c, problems := Load("../../examples/" + dir)
		assert.Equal(t, len(problems), 0, "%v", problems)
		assert.Equal(t, len(c.AvailabilityZones), 3)
		assert.Equal(t, len(c.Services), 2)
		assert.Equal(t, len(c.Organisations), 10)
	}
}

func TestMergeAppliesDefaultsOverridesAndRemovals(t *testing.T) {
	c, problems := Merge(folder(
		zoneFile+poolFile+svcFile+"organisations:\n- name: a\n  key_digests: ["+digest("a")+"]\n- name: b\n  key_digests: ["+digest("b")+"]\n",
		"organisations:\n- name: a\n  override: true\n  weight: 7\n- name: b\n  remove: true\nservices:\n- name: s\n  override: true\n  max_body: 64KiB\n  routes:\n  - method: GET\n    path: /y*\n    idempotent: true\npools:\n- name: p\n  override: true\n  group:\n    ranks: 2\n    layers: 1\n    experts: 8\n    slots_per_rank: 4\n    expert_size: 1MiB\n",
	))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.DeepEqual(t, c.Organisations, []Organisation{{Name: "a", KeyDigests: []string{digest("a")}, Weight: 7, MaxWaiting: defaultMaxWaiting}})
	assert.DeepEqual(t, c.Services, []Service{{
		Name: "s", Pool: "p", DefaultTimeout: defaultTimeout, MaxTimeout: defaultMaxTimeout, MaxBody: 64 * KiB,
		Routes: []Route{{Method: "GET", Path: "/y*", Idempotent: true}},
	}})
	assert.Equal(t, c.Pools[0].QueueLimit, 8)
	assert.DeepEqual(t, c.Pools[0].Group, &Group{Ranks: 2, Layers: 1, Experts: 8, SlotsPerRank: 4, ExpertSize: MiB, WeightRate: GiB, RebalanceInterval: time.Minute})
}

func TestIndexFindsRoutesAndKeys(t *testing.T) {
	c, problems := Load("../../examples/seri-kenanga")
	assert.Equal(t, len(problems), 0)
	c.DrainedInstances = []string{"entry-1"}
	x := c.Index()
	o, ok := x.OrganisationByKey("demo-jalan-perdana")
	assert.Assert(t, ok)
	assert.Equal(t, o.Name, "jalan-perdana")
	_, ok = x.OrganisationByKey("demo-jalan-perdana ")
	assert.Assert(t, !ok)
	s, _ := x.Service("permits")
	r, found, _ := s.Route("POST", "/permits")
	assert.Assert(t, found && !r.Idempotent)
	r, found, _ = s.Route("GET", "/permits/7")
	assert.Assert(t, found && r.Idempotent)
	_, found, pathKnown := s.Route("DELETE", "/permits")
	assert.Assert(t, !found && pathKnown)
	_, found, pathKnown = s.Route("POST", "/other")
	assert.Assert(t, !found && !pathKnown)
	assert.Assert(t, x.InstanceDrained("entry-1") && !x.AvailabilityZoneDrained("sk-a"))
}

// Each case is one fault in the second file of an otherwise valid folder.
func TestProblemsNameFileAndLine(t *testing.T) {
	org := "organisations:\n- name: a\n  key_digests: [" + digest("a") + "]\n"
	cases := []struct {
		text string
		line int
		want string
	}{
		{"organisations:\n- name: a\n  colour: red\n", 3, "unknown field colour"},
		{"services:\n- name: t\n  pool: p\n  routes:\n  - method: GET\n    pth: /\n", 6, "unknown field pth; use one of: method, path, idempotent, priority"},
		{"organisations:\n- name: a\n  weight: 1\n  weight: 2\n", 4, "weight"},
		{"zones: []\n", 1, "unknown field zones"},
		{org + "- name: a\n  key_digests: [" + digest("b") + "]\n", 4, "already defined at 01.yaml:2"},
		{"pools:\n- name: p\n  limit: 4\n", 2, "already defined at 00.yaml:5"},
		{"pools:\n- name: q\n  override: true\n  limit: 4\n", 2, "not defined in an earlier file"},
		{"services:\n- name: s\n  override: true\n  pool: nowhere\n", 4, `names pool "nowhere"`},
		{"pools:\n- name: p\n  remove: true\n", 3, `names pool "p", which does not exist`},
		{"pools:\n- name: p\n  override: true\n  cold_limit: 9\n", 4, "write a value from 1 to 8"},
		{"pools:\n- name: p\n  override: true\n  kind: big\n", 4, "write model or plain"},
		{org + "  weight: 0\n", 4, "weight is 0, outside its range; write a value from 1 to 1000"},
		{org + "  weight: many\n", 4, "write a whole number"},
		{org + "- name: b\n  key_digests: [" + digest("a") + "]\n", 5, "already belongs to organisation a"},
		{"organisations:\n- name: a\n  key_digests:\n  - secret\n", 4, "sha256sum"},
		{"organisations:\n- name: A\n", 2, "lower-case"},
		{"organisations:\n- name: a\n  key_digests:\n", 3, "has no value"},
		{"services:\n- name: s\n  override: true\n  default_timeout: 30\n", 4, "30s"},
		{"services:\n- name: s\n  override: true\n  default_timeout: 3h\n", 4, "write a value from 1ms to 2m0s"},
		{"services:\n- name: s\n  override: true\n  max_body: 10MB\n", 4, "64KiB"},
		{"services:\n- name: s\n  override: true\n  routes:\n  - method: GET\n    path: /a*\n  - method: GET\n    path: /ab\n", 7, "never reached"},
		{"pools:\n- name: p\n  override: true\n  group:\n    ranks: 2\n    layers: 1\n    experts: 9\n    slots_per_rank: 4\n    expert_size: 1MiB\n", 8, "write slots_per_rank: 5 or more"},
		{"availability_zones:\n- name: y\n  region: r\n  drained: true\n", 4, "unknown field drained"},
		{"a: [\n", 1, ""},
		{"organisations: []\n---\npools: []\n", 3, "more than one document"},
		{"- x\n", 1, "not a mapping"},
	}
	for _, tc := range cases {
		c, problems := Merge(append(folder(zoneFile+poolFile, tc.text), File{Name: "00a.yaml", Content: []byte(svcFile)}))
		assert.Assert(t, c == nil && len(problems) > 0, tc.text)
		assert.Check(t, cmp.Contains(problems[0].String(), tc.want), tc.text)
		assert.Check(t, cmp.Equal(problems[0].Line, tc.line), "%s\n%v", tc.text, problems)
	}
}

// The order in which files are passed does not matter, and an accepted configuration is
// within the documented bounds.
func TestMergeIsDeterministicAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{
			"pools:\n- name: p\n  override: true\n  limit: 9\n", "pools:\n- name: p\n  remove: true\n", poolFile, svcFile, zoneFile,
			"services:\n- name: s\n  override: true\n  max_timeout: 10m\n", "services:\n- name: s\n  remove: true\n", "pools: [\n", "",
		}), 1, 6).Draw(t, "files")
		files := folder(lines...)
		a, problems := Merge(files)
		b, again := Merge(rapid.Permutation(files).Draw(t, "order"))
		assert.DeepEqual(t, a, b)
		assert.DeepEqual(t, problems, again)
		assert.Assert(t, (a == nil) == (len(problems) > 0))
		if a == nil {
			return
		}
		for _, s := range a.Services {
			_, ok := a.Index().Pool(s.Pool)
			assert.Assert(t, ok && s.DefaultTimeout <= s.MaxTimeout && s.MaxTimeout <= 10*time.Minute)
		}
	})
}
