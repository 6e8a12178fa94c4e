package commander

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

const root = "../../.."

// bench runs command lines against fakes.
type bench struct {
	t       testing.TB
	store   *memoryStore
	daemons *memoryDaemons
	clock   steppingClock
	random  *rand.ChaCha8
	// env holds the environment variables of the command lines.
	env map[string]string
}

func newBench(t testing.TB) *bench {
	store := newMemoryStore()
	return &bench{
		t:       t,
		store:   store,
		daemons: &memoryDaemons{store: store},
		clock:   steppingClock{clockwork.NewFakeClockAt(startTime)},
		random:  rand.NewChaCha8([32]byte{7}),
		env:     map[string]string{envPlatform: "127.0.0.1:21001", envDaemons: "127.0.0.1:21301,127.0.0.1:21302"},
	}
}

// run runs one command line and returns its exit code and both outputs.
func (b *bench) run(author, line, input string) (ExitCode, string) {
	var out, errOut bytes.Buffer
	env := maps.Clone(b.env)
	env[envAuthor] = author
	c, err := New(Config{
		OpenStore:  func(Connection) (client.ObjectStore, error) { return b.store, nil },
		Transport:  b.daemons,
		Clock:      b.clock,
		Random:     b.random,
		Getenv:     func(name string) string { return env[name] },
		In:         strings.NewReader(input),
		Out:        &out,
		Err:        &errOut,
		RetryPause: 1e6,
		Attempts:   3,
	})
	assert.NilError(b.t, err)
	code := c.Run(context.Background(), splitLine(b.t, line))
	return code, out.String() + errOut.String()
}

// must runs a command line that has to succeed.
func (b *bench) must(author, line string) {
	code, output := b.run(author, line, "")
	assert.Equal(b.t, code, ExitOK, output)
}

// splitLine splits a command line at spaces outside of single quotes and drops
// the program's name.
func splitLine(t testing.TB, line string) []string {
	var words []string
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			words = append(words, part)
			continue
		}
		words = append(words, strings.Fields(part)...)
	}
	assert.Equal(t, words[0], "cardamomctl")
	return words[1:]
}

// prepare makes a directive of a transcript come true for the next command.
func (b *bench) prepare(directive string) {
	name, rest, _ := strings.Cut(directive, ": ")
	rival := func() { b.must("rival", rest) }
	switch name {
	case "rival before the write":
		b.store.faults = []fault{{before: rival}}
	case "answer lost after the write":
		b.store.faults = []fault{{kind: client.KindUnknown}}
	case "answer lost before the write":
		b.store.faults = []fault{{drop: true, kind: client.KindUnknown}}
	case "answer lost and rival after the write":
		b.store.faults = []fault{{after: rival, kind: client.KindUnknown}}
	case "rival before the write and answer lost":
		b.store.faults = []fault{{before: rival, kind: client.KindUnknown}}
	case "throttled once":
		b.store.faults = []fault{{drop: true, kind: client.KindThrottled}}
	case "platform down":
		b.store.down = client.KindUnavailable
	case "answers lost":
		b.store.down = client.KindUnknown
	case "platform up":
		b.store.down = ""
	case "one daemon lags":
		polls, err := strconv.Atoi(rest)
		assert.NilError(b.t, err)
		b.daemons.lag = polls
	default:
		b.t.Fatalf("directive %q does not exist", directive)
	}
}

// transcript runs the lines of a file: "# DIRECTIVE" and "$ COMMAND". The lines
// after a command are its standard input.
func (b *bench) transcript(text string) string {
	var result strings.Builder
	lines := strings.Split(strings.TrimSpace(text), "\n")
	for i := 0; i < len(lines); i++ {
		line := lines[i]
		fmt.Fprintln(&result, line)
		if directive, ok := strings.CutPrefix(line, "# "); ok {
			b.prepare(directive)
			continue
		}
		command, ok := strings.CutPrefix(line, "$ ")
		assert.Assert(b.t, ok, "line %q is neither directive nor command", line)
		var input strings.Builder
		for i+1 < len(lines) && !strings.HasPrefix(lines[i+1], "$ ") && !strings.HasPrefix(lines[i+1], "# ") {
			i++
			fmt.Fprintln(&input, lines[i])
			fmt.Fprintln(&result, lines[i])
		}
		code, output := b.run("ana", command, input.String())
		fmt.Fprintf(&result, "%sexit %d\n\n", output, code)
		assert.Equal(b.t, len(b.store.faults), 0, "%s: a fault did not happen", line)
	}
	return result.String()
}

// TestTranscripts runs each file of commands and compares all output.
func TestTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.commands")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".commands")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			golden.Assert(t, newBench(t).transcript(string(text)), name+".golden")
		})
	}
}

// fencedLines returns the lines of a page's blocks of shell commands.
func fencedLines(t *testing.T, path string) []string {
	t.Helper()
	page, err := os.ReadFile(path)
	assert.NilError(t, err)
	var lines []string
	fence := ""
	for line := range strings.SplitSeq(string(page), "\n") {
		if tag, ok := strings.CutPrefix(line, "```"); ok {
			assert.Assert(t, fence == "" || tag == "", "%s: a block begins within another: %s", path, line)
			assert.Assert(t, tag == "" || filepath.Base(path) == "README.md" || slices.Contains(fences, tag), "%s: blocks of %q are tested nowhere", path, tag)
			fence = tag
			continue
		}
		if fence == "sh" && line != "" {
			lines = append(lines, line)
		}
	}
	return lines
}

// fences are the kinds of blocks: "sh" is run here, and "sh daemon", "json
// settings" and "promql" are tested with the daemon.
var fences = []string{"sh", "sh daemon", "json settings", "promql"}

// runLine runs one line of a page.
func (b *bench) runLine(line string) {
	b.t.Helper()
	if assignment, ok := strings.CutPrefix(line, "export "); ok {
		name, value, ok := strings.Cut(assignment, "=")
		assert.Assert(b.t, ok, line)
		b.env[name] = value
		return
	}
	command, comment, _ := strings.Cut(line, " # exit ")
	want, _ := strconv.Atoi(comment)
	input := ""
	if before, after, ok := strings.Cut(command, " | "); ok {
		input, command = strings.TrimPrefix(before, "printf "), after
	}
	code, output := b.run("ana", command, input)
	assert.Equal(b.t, code, ExitCode(want), "%s\n%s", line, output)
}

// TestManualCommandsRun runs every command line of the operators' pages, each
// page on a fleet of its own.
func TestManualCommandsRun(t *testing.T) {
	t.Chdir(root)
	pages, err := filepath.Glob("docs/operations/*.md")
	assert.NilError(t, err)
	readmes, err := filepath.Glob("README.md")
	assert.NilError(t, err)
	assert.Assert(t, len(pages) >= 12, "only %d pages found", len(pages))
	ran := map[string]int{}
	for _, path := range append(pages, readmes...) {
		b := newBench(t)
		b.must("ana", "cardamomctl config apply examples/tierra-alta/fleet.json")
		for _, line := range fencedLines(t, path) {
			if path == "README.md" && !strings.HasPrefix(line, "cardamomctl ") {
				continue
			}
			b.runLine(line)
			ran[filepath.Base(path)]++
		}
	}
	assert.Assert(t, ran["cardamomctl.md"] >= 30, "only %d commands found", ran["cardamomctl.md"])
	for _, page := range []string{"install.md", "profiles.md", "data-centre.md", "hosts.md", "targets.md", "weights.md", "platform-outage.md", "keys.md", "troubleshooting.md"} {
		assert.Assert(t, ran[page] > 0, "%s has no commands", page)
	}
}

// TestCompletionKnowsNames completes names of entries and values of flags.
func TestCompletionKnowsNames(t *testing.T) {
	b := newBench(t)
	b.must("ana", "cardamomctl config apply "+root+"/examples/tierra-alta/fleet.json")
	cases := []struct{ line, want string }{
		{"cardamomctl __complete data-centre out ''", "antigua\nchimaltenango\nescuintla\n"},
		{"cardamomctl __complete service get ''", "assistant\norder-application\n"},
		{"cardamomctl __complete status --output ''", "table\njson\n"},
	}
	for _, c := range cases {
		code, output := b.run("ana", c.line, "")
		assert.Equal(t, code, ExitOK)
		assert.Assert(t, strings.HasPrefix(output, c.want), output)
	}
}

// TestEveryReportedChangeIsTrue races two operators under drawn faults. Each
// edit that was reported as accepted must have a version of its own, and none
// that was reported as lost may have one.
func TestEveryReportedChangeIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(t)
		code, _ := b.run("ana", "cardamomctl config apply -", `{"models": {"m": {"version": "first"}}}`)
		assert.Equal(rt, code, ExitOK)
		codes := map[string]ExitCode{}
		command := func(author string, n int) {
			version := fmt.Sprintf("%s-%d", author, n)
			codes[version], _ = b.run(author, "cardamomctl weights set m "+version+" -m "+version, "")
		}
		for n := range rapid.IntRange(1, 6).Draw(rt, "edits") {
			b.store.faults = drawFaults(rt, func(i int) { command("rival", 100*n+i) })
			command("ana", n)
			b.store.faults = nil
		}
		written := messages(t, b)
		for version, code := range codes {
			switch code {
			case ExitOK:
				assert.Assert(rt, written[version], "%s was accepted but not written", version)
			case ExitLostRace:
				assert.Assert(rt, !written[version], "%s was reported as lost but written", version)
			default:
				assert.Equal(rt, code, ExitUnavailable)
			}
		}
	})
}

// drawFaults draws the faults of the next writes. A rival's own writes take
// their faults from the same list.
func drawFaults(rt *rapid.T, rival func(i int)) []fault {
	var faults []fault
	for i := range rapid.IntRange(0, 4).Draw(rt, "faults") {
		f := fault{
			drop: rapid.Bool().Draw(rt, "drop"),
			kind: rapid.SampledFrom([]client.Kind{"", client.KindUnknown}).Draw(rt, "kind"),
		}
		if f.drop {
			f.kind = rapid.SampledFrom([]client.Kind{client.KindUnknown, client.KindThrottled, client.KindUnavailable}).Draw(rt, "refusal")
		}
		if rapid.Bool().Draw(rt, "before") {
			f.before = func() { rival(2 * i) }
		}
		if rapid.Bool().Draw(rt, "after") {
			f.after = func() { rival(2*i + 1) }
		}
		faults = append(faults, f)
	}
	return faults
}

// messages returns the messages of all changes that were written.
func messages(t testing.TB, b *bench) map[string]bool {
	a := &applier{store: b.store, clock: b.clock, attempts: 1, pause: 1}
	now, err := a.read(context.Background())
	assert.NilError(t, err)
	records, err := a.history(context.Background())
	assert.NilError(t, err)
	result := map[string]bool{now.Change.Message: true}
	for _, r := range records {
		result[r.Change.Message] = true
	}
	return result
}

// TestEditKeepsOtherEntries changes one entry and compares the others.
func TestEditKeepsOtherEntries(t *testing.T) {
	b := newBench(t)
	b.must("ana", "cardamomctl config apply "+root+"/examples/tierra-alta/fleet.json")
	before := b.store.fleet(t)
	b.must("ana", "cardamomctl data-centre out antigua")
	after := b.store.fleet(t)
	assert.DeepEqual(t, specifier.Diff(before, after), []specifier.Difference{
		{Key: "data-centres.antigua.state", Before: `"in"`, After: `"out"`},
	})
	assert.Equal(t, after.DataCentres[identifier.DataCentre("antigua")].State, specifier.StateOut)
}
