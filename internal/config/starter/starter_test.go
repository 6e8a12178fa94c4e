package starter

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
)

const examplesDir = "../../../examples"

func openFile(t *testing.T, path string) *os.File {
	t.Helper()
	file, err := os.Open(path)
	assert.NilError(t, err)
	t.Cleanup(func() { file.Close() })
	return file
}

// TestExampleSettingsMatchFleets compares the settings of every daemon of the
// examples with the configuration of its fleet.
func TestExampleSettingsMatchFleets(t *testing.T) {
	for _, example := range []string{"tierra-alta", "etosha"} {
		fleetPath := filepath.Join(examplesDir, example, "fleet.json")
		fleet, err := specifier.Decode(fleetPath, openFile(t, fleetPath))
		assert.NilError(t, err)
		for name, host := range fleet.Hosts {
			path := filepath.Join(examplesDir, example, "daemons", fmt.Sprintf("%s.json", name))
			settings, err := Decode(path, openFile(t, path))
			assert.NilError(t, err)
			assert.Equal(t, settings.Host, name)
			assert.Equal(t, settings.DataCentre, host.DataCentre)
			assert.Equal(t, settings.Region, fleet.DataCentres[host.DataCentre].Region)
			assert.Equal(t, settings.PeerListen, host.Peer)
			assert.Equal(t, settings.Session, DefaultSession())
		}
		files, err := filepath.Glob(filepath.Join(examplesDir, example, "daemons", "*.json"))
		assert.NilError(t, err)
		assert.Equal(t, len(files), len(fleet.Hosts))
	}
}

const validSettings = `"host":"h","data-centre":"d","region":"r","listen":"127.0.0.1:1","peer-listen":"127.0.0.1:2",` +
	`"operator-listen":"127.0.0.1:3","platform":{"objects":["127.0.0.1:4"]}`

const validSecret = `,"secrets":{"block-secret":"0123456789abcdef"}`

func TestDecodeReportsKeyAndReason(t *testing.T) {
	cases := []struct{ name, input, want string }{
		{"valid", validSettings + validSecret, ""},
		{"secret", validSettings, `secrets: has both or neither of block-key-file and block-secret, want exactly one`},
		{"short secret", validSettings + `,"secrets":{"block-secret":"x"}`, `secrets.block-secret: has 1 characters, want at least 16`},
		{"unknown key", validSettings + validSecret + `,"limits":{"max-body":1}`,
			`limits.max-body: is an unknown key, want one of max-body-bytes, max-header-bytes, max-in-flight, read-timeout, write-timeout`},
		{"margin of half the term", validSettings + validSecret + `,"session":{"term":"4s","margin":"2s"}`,
			`session.margin: is 2s, want above 0s and less than half the term of 4s`},
		{"margin", validSettings + validSecret + `,"session":{"term":"4s","margin":"3s"}`,
			`session.margin: is 3s, want above 0s and less than half the term of 4s`},
		{"same address", strings.Replace(validSettings, ":2", ":1", 1) + validSecret, `peer-listen: is "127.0.0.1:1", which listen uses already`},
		{"level", validSettings + validSecret + `,"log-level":"loud"`, `log-level: is "loud", want one of trace, debug, info, warn, error`},
		{"trace", validSettings + validSecret + `,"trace":{"endpoint":"127.0.0.1:4318","file":"f"}`, `trace: has both endpoint and file, want at most one`},
		{"authority of peers", validSettings + validSecret + `,"tls":{"peers":{"key":"c","certificate":"d"}}`, `tls.peers.ca: is missing`},
		{"callers without certificates", validSettings + validSecret + `,"tls":{"callers":{"key":"c","certificate":"d"}}`, ""},
		{"name", strings.Replace(validSettings, `"h"`, `"a/b"`, 1) + validSecret,
			`host: is "a/b", want a name of 1 to 63 letters, digits, dots, hyphens and underscores`},
		{"TLS", validSettings + validSecret + `,"tls":{"peers":{"ca":"c","certificate":"d"}}`, `tls.peers.key: is missing`},
		{"plain peers", strings.Replace(validSettings, "127.0.0.1:2", "192.0.2.1:2", 1) + validSecret,
			`tls.peers: is missing and peer-listen is "192.0.2.1:2", which other hosts reach; give its files, or permit plain TCP by allow-plain-text`},
		{"plain operators", strings.Replace(validSettings, "127.0.0.1:3", "0.0.0.0:3", 1) + validSecret,
			`tls.operators: is missing and operator-listen is "0.0.0.0:3", which other hosts reach; give its files, or permit plain TCP by allow-plain-text`},
		{"plain allowed", strings.Replace(validSettings, "127.0.0.1:2", "192.0.2.1:2", 1) + validSecret + `,"allow-plain-text":true`, ""},
		{"secured peers", strings.Replace(validSettings, "127.0.0.1:2", "192.0.2.1:2", 1) + validSecret + `,"tls":{"peers":{"ca":"a","certificate":"b","key":"c"}}`, ""},
		{"ratio", validSettings + validSecret + `,"trace":{"ratio":1.5}`, `trace.ratio: is 1.5, want 0 to 1`},
		{"write timeout", validSettings + validSecret + `,"limits":{"write-timeout":"0s"}`, `limits.write-timeout: is 0s, want 1ms to 10m0s`},
		{"interval", validSettings + validSecret + `,"heartbeat-interval":"1ms"`, `heartbeat-interval: is 1ms, want 10ms to 1m0s`},
		{"in flight", validSettings + validSecret + `,"limits":{"max-in-flight":0}`, `limits.max-in-flight: is 0, want 1 to 1000000`},
		{"platform", strings.Replace(validSettings, `"127.0.0.1:4"`, "", 1) + validSecret, `platform.objects: is empty, want at least one address of the object API`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode("s.json", strings.NewReader("{"+c.input+"}"))
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			var settingsErr *Error
			assert.Assert(t, errors.As(err, &settingsErr))
			assert.Equal(t, settingsErr.Problems.Error(), "s.json: "+c.want)
		})
	}
}

func TestDecodeReportsAllProblems(t *testing.T) {
	_, err := Decode("s.json", strings.NewReader(`{}`))
	var settingsErr *Error
	assert.Assert(t, errors.As(err, &settingsErr))
	assert.Equal(t, settingsErr.Kind, KindInvalid)
	assert.Equal(t, len(settingsErr.Problems), 8)
}
