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

// blocks returns the contents of the fenced blocks of all operators' pages with a tag.
func blocks(t *testing.T, tag string) []string {
	t.Helper()
	pages, err := filepath.Glob("docs/operations/*.md")
	assert.NilError(t, err)
	var found []string
	for _, path := range pages {
		page, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, part := range strings.Split(string(page), "\n```"+tag+"\n")[1:] {
			block, _, closed := strings.Cut(part, "\n```")
			assert.Assert(t, closed, "%s: a block has no end", path)
			found = append(found, block)
		}
	}
	return found
}

// pageBench is a fleet with the names of the pages.
func pageBench(t *testing.T) *bench {
	plan := testPlan(1)
	orders := plan.Fleet.Services["orders"]
	delete(plan.Fleet.Services, "orders")
	plan.Fleet.Services["order-application"], plan.PlainService = orders, "order-application"
	plan.Fleet.Teams["farm-shop"] = specifier.Team{KeyHashes: []string{hasher.HashKey("tierra-key-01")}, Weight: 8}
	return newBench(t, assembler.Config{Plan: plan})
}

// splitWords splits a command line at spaces outside of single quotes.
func splitWords(line string) []string {
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

// curl sends the request of a command line to the daemon under test.
func (b *bench) curl(words []string) reply {
	b.t.Helper()
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
	at, ok := map[string]netip.AddrPort{"127.0.0.1:21101": b.host(0).Callers, "127.0.0.1:21301": b.host(0).Operators}[address]
	assert.Assert(b.t, ok, "no daemon at %q", address)
	return b.must(method, at, "/"+path, body, header)
}

// check runs cardamomd with the words of a command line.
func check(t *testing.T, words []string) {
	t.Helper()
	assert.Equal(t, words[len(words)-1], "--check", "only checks can be run here")
	var out bytes.Buffer
	root, err := commander.New(commander.Config{Clock: clockwork.NewRealClock(), Out: &out, Log: io.Discard})
	assert.NilError(t, err)
	root.SetArgs(words)
	assert.NilError(t, root.Execute())
	assert.Assert(t, strings.Contains(out.String(), "the settings are valid"), out.String())
}

// TestPagesRun runs the pages' command lines that need a daemon.
func TestPagesRun(t *testing.T) {
	t.Chdir("../../..")
	b := pageBench(t)
	ran := 0
	for _, block := range blocks(t, "sh daemon") {
		for line := range strings.SplitSeq(block, "\n") {
			words := splitWords(line)
			switch words[0] {
			case "cardamomd":
				check(t, words[1:])
			case "curl":
				answer := b.curl(words[1:])
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

// TestSettingsOfPagesAreValid decodes the settings that the pages show.
func TestSettingsOfPagesAreValid(t *testing.T) {
	t.Chdir("../../..")
	shown := blocks(t, "json settings")
	assert.Assert(t, len(shown) > 0)
	for _, block := range shown {
		_, err := starter.Decode("page", strings.NewReader(block))
		assert.NilError(t, err)
	}
}
