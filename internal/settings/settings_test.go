package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const entryText = `name: entry-a1
availability_zone: sk-a
listen: 0.0.0.0:7000
link_address: 127.0.0.1:7100
admin_address: 127.0.0.1:7200
platform_address: 127.0.0.1:7300
link_key: sixteen-bytes-or-more
limits:
  read_timeout: 3s
`

const agentText = `name: agent-a1
availability_zone: sk-a
pool: drafting-models
target_address: 127.0.0.1:8000
admin_address: 127.0.0.1:8200
platform_address: 127.0.0.1:7300
link_key: sixteen-bytes-or-more
entries:
- 127.0.0.1:7100
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestValidSettingsGetDefaults(t *testing.T) {
	e, err := LoadEntry(writeFile(t, entryText))
	assert.NilError(t, err)
	assert.Equal(t, e.Advertise, e.LinkAddress)
	want := DefaultEntryLimits()
	want.ReadTimeout = 3 * time.Second
	assert.DeepEqual(t, e.Limits, want)

	key := writeFile(t, "another-key-of-16-bytes\n")
	a, err := LoadAgent(writeFile(t, strings.Replace(agentText, "link_key: sixteen-bytes-or-more", "link_key_file: "+key, 1)))
	assert.NilError(t, err)
	assert.Equal(t, a.LinkKey, "another-key-of-16-bytes")
}

func TestInvalidSettingsAreRejectedOnOneLine(t *testing.T) {
	loadEntry := func(path string) error { _, err := LoadEntry(path); return err }
	loadAgent := func(path string) error { _, err := LoadAgent(path); return err }
	cases := []struct {
		load           func(string) error
		base, old, new string
		want           string
	}{
		{loadEntry, entryText, "name: entry-a1", "name: Entry 1", `:1: name "Entry 1" is not usable`},
		{loadEntry, entryText, "listen: 0.0.0.0:7000", "listen: localhost:7000", ":3: listen \"localhost:7000\" is not an address; write an IP number and a port"},
		{loadEntry, entryText, "link_address: 127.0.0.1:7100", "link_address: 0.0.0.0:7100", "advertise \"0.0.0.0:7100\" cannot be dialled"},
		{loadEntry, entryText, "read_timeout: 3s", "read_timeout: 3", ":9: field read_timeout"},
		{loadEntry, entryText, "read_timeout: 3s", "read_timeout: 3h", ":9: limits.read_timeout is 3h0m0s"},
		{loadEntry, entryText, "read_timeout: 3s", "reed_timeout: 3s", ":9: unknown field reed_timeout"},
		{loadEntry, entryText, "link_key: sixteen-bytes-or-more", "link_key: short", ":7: link_key has 5 bytes"},
		{loadEntry, entryText, "platform_address: 127.0.0.1:7300\n", "", "platform_address \"\" is not an address"},
		{loadAgent, agentText, "- 127.0.0.1:7100", "- 127.0.0.1", ":8: entries \"127.0.0.1\" is not an address"},
		{loadAgent, agentText, "entries:\n- 127.0.0.1:7100\n", "", "entries names no entry"},
		{loadAgent, agentText, "pool: drafting-models", "pool: drafting-models\ngroup: g", "link_address is missing"},
	}
	for _, tc := range cases {
		err := tc.load(writeFile(t, strings.Replace(tc.base, tc.old, tc.new, 1)))
		assert.Assert(t, err != nil, tc.new)
		assert.Check(t, cmp.Contains(err.Error(), tc.want))
		assert.Check(t, !strings.Contains(err.Error(), "\n"))
	}
	assert.ErrorContains(t, loadEntry("/nonexistent"), "cannot be read")
}
