package daemon_test

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/config/starter"
	"cardamomscale.example/cardamomscale/internal/entry/commander"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
)

// fencedBlocks returns the contents of all fenced blocks with a tag in the
// operators' pages.
func fencedBlocks(t *testing.T, tag string) []string {
	t.Helper()
	pages, err := filepath.Glob("docs/operations/*.md")
	assert.NilError(t, err)
	var found []string
	for _, path := range pages {
		page, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, part := range strings.Split(string(page), "\n```"+tag+"\n")[1:] {
			block, _, closed := strings.Cut(part, "\n```")
			assert.Assert(t, closed, "%s: a block is not closed", path)
			found = append(found, block)
		}
	}
	return found
}

// newPageFixture returns a fleet with the service and team names of the pages.
func newPageFixture(t *testing.T) *fixture {
	plan := newTestPlan(1)
	orders := plan.Fleet.Services["orders"]
	delete(plan.Fleet.Services, "orders")
	plan.Fleet.Services["order-application"], plan.PlainService = orders, "order-application"
	plan.Fleet.Teams["farm-shop"] = specifier.Team{KeyHashes: []string{hasher.HashKey("tierra-key-01")}, Weight: 8}
	return newFixture(t, assembler.Config{Plan: plan})
}

// splitCommandLine splits a command line at spaces outside of single quotes.
func splitCommandLine(line string) []string {
	var words []string
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			words = append(words, part)
			continue
		}
		words = append(words, strings.Fields(part)...)
	}
	return words
}

// runCurl sends the request of a curl command line to the daemon under test.
func (f *fixture) runCurl(words []string) reply {
	f.t.Helper()
	method, body, header, url := http.MethodGet, "", http.Header{}, ""
	for i := 0; i < len(words); i++ {
		switch words[i] {
		case "-s":
		case "-H":
			i++
			name, value, _ := strings.Cut(words[i], ": ")
			header.Set(name, value)
		case "-d":
			i++
			method, body = http.MethodPost, words[i]
		default:
			url = words[i]
		}
	}
	address, path, _ := strings.Cut(strings.TrimPrefix(url, "http://"), "/")
	at, ok := map[string]netip.AddrPort{"127.0.0.1:21101": f.host(0).CallerAddress, "127.0.0.1:21301": f.host(0).OperatorAddress}[address]
	assert.Assert(f.t, ok, "no daemon at %q", address)
	return f.mustDo(method, at, "/"+path, body, header)
}

// runSettingsCheck runs cardamomd --check with the words of a command line.
func runSettingsCheck(t *testing.T, words []string) {
	t.Helper()
	assert.Equal(t, words[len(words)-1], "--check", "only --check is supported here")
	var out bytes.Buffer
	root, err := commander.New(commander.Config{Clock: clockwork.NewRealClock(), Out: &out, Log: io.Discard})
	assert.NilError(t, err)
	root.SetArgs(words)
	assert.NilError(t, root.Execute())
	assert.Assert(t, strings.Contains(out.String(), "the settings are valid"), out.String())
}

// TestPageCommandsRun checks that the command lines of the pages that need a
// daemon work.
func TestPageCommandsRun(t *testing.T) {
	t.Chdir("../../..")
	f := newPageFixture(t)
	ran := 0
	for _, block := range fencedBlocks(t, "sh daemon") {
		for line := range strings.SplitSeq(block, "\n") {
			words := splitCommandLine(line)
			switch words[0] {
			case "cardamomd":
				runSettingsCheck(t, words[1:])
			case "curl":
				answer := f.runCurl(words[1:])
				assert.Equal(t, answer.status, http.StatusOK, "%s\n%s", line, answer.body)
				assert.Assert(t, answer.body != "", line)
			default:
				t.Fatalf("%q is not a program of the pages", words[0])
			}
			ran++
		}
	}
	assert.Assert(t, ran >= 8, "only %d commands found", ran)
}

// TestSettingsOfPagesAreValid checks that the settings in the pages can be decoded.
func TestSettingsOfPagesAreValid(t *testing.T) {
	t.Chdir("../../..")
	settings := fencedBlocks(t, "json settings")
	assert.Assert(t, len(settings) > 0)
	for _, block := range settings {
		_, err := starter.Decode("page", strings.NewReader(block))
		assert.NilError(t, err)
	}
}
