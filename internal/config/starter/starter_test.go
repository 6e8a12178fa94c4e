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

const examples = "../../../examples"

func openFile(t *testing.T, path string) *os.File {
	t.Helper()
	file, err := os.Open(path)
	assert.NilError(t, err)
	t.Cleanup(func() { file.Close() })
	return file
}

// TestExamplesMatchTheirFleets decodes the settings of every daemon and
// compares them with the fleet's configuration.
func TestExamplesMatchTheirFleets(t *testing.T) {
	for _, example := range []string{"tierra-alta", "etosha"} {
		fleetPath := filepath.Join(examples, example, "fleet.json")
		fleet, err := specifier.Decode(fleetPath, openFile(t, fleetPath))
		assert.NilError(t, err)
		for name, host := range fleet.Hosts {
			path := filepath.Join(examples, example, "daemons", fmt.Sprintf("%s.json", name))
			settings, err := Decode(path, openFile(t, path))
			assert.NilError(t, err)
			assert.Equal(t, settings.Host, name)
			assert.Equal(t, settings.DataCentre, host.DataCentre)
			assert.Equal(t, settings.Region, fleet.DataCentres[host.DataCentre].Region)
			assert.Equal(t, settings.PeerListen, host.Peer)
			assert.Equal(t, settings.Session, DefaultSession())
		}
		files, err := filepath.Glob(filepath.Join(examples, example, "daemons", "*.json"))
		assert.NilError(t, err)
		assert.Equal(t, len(files), len(fleet.Hosts))
	}
}

const valid = `"host":"h","data-centre":"d","region":"r","listen":"127.0.0.1:1","peer-listen":"127.0.0.1:2",` +
	`"operator-listen":"127.0.0.1:3","platform":{"objects":["127.0.0.1:4"]}`

const secret = `,"secrets":{"block-secret":"0123456789abcdef"}`

func TestDecodeNamesEachProblem(t *testing.T) {
	cases := []struct{ name, input, want string }{
		{"valid", valid + secret, ""},
		{"secret", valid, `secrets: has both or neither of block-key-file and block-secret, want exactly one`},
		{"short secret", valid + `,"secrets":{"block-secret":"x"}`, `secrets.block-secret: has 1 characters, want at least 16`},
		{"unknown key", valid + secret + `,"limits":{"max-body":1}`,
			`limits.max-body: is an unknown key, want one of max-body-bytes, max-header-bytes, max-in-flight, read-timeout, write-timeout`},
		{"margin", valid + secret + `,"session":{"term":"4s","margin":"3s"}`,
			`session.margin: is 3s, want above 0s and at most half the term of 4s`},
		{"same address", strings.Replace(valid, ":2", ":1", 1) + secret, `peer-listen: is "127.0.0.1:1", which listen uses already`},
		{"level", valid + secret + `,"log-level":"loud"`, `log-level: is "loud", want one of trace, debug, info, warn, error`},
		{"trace", valid + secret + `,"trace":{"endpoint":"127.0.0.1:4318","file":"f"}`, `trace: has both endpoint and file, want at most one`},
		{"authority of peers", valid + secret + `,"tls":{"peers":{"key":"c","certificate":"d"}}`, `tls.peers.ca: is missing`},
		{"callers without certificates", valid + secret + `,"tls":{"callers":{"key":"c","certificate":"d"}}`, ""},
		{"name", strings.Replace(valid, `"h"`, `"a/b"`, 1) + secret,
			`host: is "a/b", want a name of 1 to 63 letters, digits, dots, hyphens and underscores`},
		{"TLS", valid + secret + `,"tls":{"peers":{"ca":"c","certificate":"d"}}`, `tls.peers.key: is missing`},
		{"plain peers", strings.Replace(valid, "127.0.0.1:2", "192.0.2.1:2", 1) + secret,
			`tls.peers: is missing and peer-listen is "192.0.2.1:2", which other hosts reach; give its files, or permit plain TCP by allow-plain-text`},
		{"plain operators", strings.Replace(valid, "127.0.0.1:3", "0.0.0.0:3", 1) + secret,
			`tls.operators: is missing and operator-listen is "0.0.0.0:3", which other hosts reach; give its files, or permit plain TCP by allow-plain-text`},
		{"plain allowed", strings.Replace(valid, "127.0.0.1:2", "192.0.2.1:2", 1) + secret + `,"allow-plain-text":true`, ""},
		{"secured peers", strings.Replace(valid, "127.0.0.1:2", "192.0.2.1:2", 1) + secret + `,"tls":{"peers":{"ca":"a","certificate":"b","key":"c"}}`, ""},
		{"ratio", valid + secret + `,"trace":{"ratio":1.5}`, `trace.ratio: is 1.5, want 0 to 1`},
		{"write timeout", valid + secret + `,"limits":{"write-timeout":"0s"}`, `limits.write-timeout: is 0s, want 1ms to 10m0s`},
		{"interval", valid + secret + `,"heartbeat-interval":"1ms"`, `heartbeat-interval: is 1ms, want 10ms to 1m0s`},
		{"in flight", valid + secret + `,"limits":{"max-in-flight":0}`, `limits.max-in-flight: is 0, want 1 to 1000000`},
		{"platform", strings.Replace(valid, `"127.0.0.1:4"`, "", 1) + secret, `platform.objects: is empty, want at least one address of the object API`},
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
