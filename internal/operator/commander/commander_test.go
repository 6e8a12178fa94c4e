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

const repositoryRoot = "../../.."

// harness runs command lines against a fake platform and fake daemons.
type harness struct {
	t       testing.TB
	store   *memoryStore
	daemons *fakeDaemons
	clock   autoAdvanceClock
	random  *rand.ChaCha8
	// env holds the environment variables of the command lines.
	env map[string]string
}

func newHarness(t testing.TB) *harness {
	store := newMemoryStore()
	return &harness{
		t:       t,
		store:   store,
		daemons: &fakeDaemons{store: store},
		clock:   autoAdvanceClock{clockwork.NewFakeClockAt(startTime)},
		random:  rand.NewChaCha8([32]byte{7}),
		env:     map[string]string{envPlatform: "127.0.0.1:21001", envDaemons: "127.0.0.1:21301,127.0.0.1:21302"},
	}
}

// run runs a command line and returns its exit code, and standard output followed
// by standard error.
func (h *harness) run(author, line, input string) (ExitCode, string) {
	var out, errOut bytes.Buffer
	env := maps.Clone(h.env)
	env[envAuthor] = author
	c, err := New(Config{
		OpenStore:  func(Connection) (client.ObjectStore, error) { return h.store, nil },
		Transport:  h.daemons,
		Clock:      h.clock,
		Random:     h.random,
		Getenv:     func(name string) string { return env[name] },
		In:         strings.NewReader(input),
		Out:        &out,
		Err:        &errOut,
		RetryPause: 1e6,
		Attempts:   3,
	})
	assert.NilError(h.t, err)
	code := c.Run(context.Background(), splitCommandLine(h.t, line))
	return code, out.String() + errOut.String()
}

// mustRun runs a command line and fails the test if the command fails.
func (h *harness) mustRun(author, line string) {
	code, output := h.run(author, line, "")
	assert.Equal(h.t, code, ExitOK, output)
}

// splitCommandLine splits a command line at spaces outside single quotes and drops
// the name of the program.
func splitCommandLine(t testing.TB, line string) []string {
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

// applyDirective sets or clears the faults that a directive of a transcript names. The
// rival is another operator, who edits the configuration at the same time.
func (h *harness) applyDirective(directive string) {
	name, rest, _ := strings.Cut(directive, ": ")
	rival := func() { h.mustRun("rival", rest) }
	switch name {
	case "rival before the write":
		h.store.faults = []fault{{before: rival}}
	case "answer lost after the write":
		h.store.faults = []fault{{kind: client.KindUnknown}}
	case "answer lost before the write":
		h.store.faults = []fault{{drop: true, kind: client.KindUnknown}}
	case "answer lost and rival after the write":
		h.store.faults = []fault{{after: rival, kind: client.KindUnknown}}
	case "rival before the write and answer lost":
		h.store.faults = []fault{{before: rival, kind: client.KindUnknown}}
	case "throttled once":
		h.store.faults = []fault{{drop: true, kind: client.KindThrottled}}
	case "platform down":
		h.store.outage = client.KindUnavailable
	case "answers lost":
		h.store.outage = client.KindUnknown
	case "platform up":
		h.store.outage = ""
	case "one daemon lags":
		polls, err := strconv.Atoi(rest)
		assert.NilError(h.t, err)
		h.daemons.lag = polls
	default:
		h.t.Fatalf("directive %q does not exist", directive)
	}
}

// runTranscript runs a transcript of "# DIRECTIVE" and "$ COMMAND" lines and returns
// it with the output and exit code after each command. Other lines after a command
// are its standard input.
func (h *harness) runTranscript(text string) string {
	var result strings.Builder
	lines := strings.Split(strings.TrimSpace(text), "\n")
	for i := 0; i < len(lines); i++ {
		line := lines[i]
		fmt.Fprintln(&result, line)
		if directive, ok := strings.CutPrefix(line, "# "); ok {
			h.applyDirective(directive)
			continue
		}
		command, ok := strings.CutPrefix(line, "$ ")
		assert.Assert(h.t, ok, "line %q is neither directive nor command", line)
		var input strings.Builder
		for i+1 < len(lines) && !strings.HasPrefix(lines[i+1], "$ ") && !strings.HasPrefix(lines[i+1], "# ") {
			i++
			fmt.Fprintln(&input, lines[i])
			fmt.Fprintln(&result, lines[i])
		}
		code, output := h.run("ana", command, input.String())
		fmt.Fprintf(&result, "%sexit %d\n\n", output, code)
		assert.Equal(h.t, len(h.store.faults), 0, "%s: an injected fault was not used", line)
	}
	return result.String()
}

// TestTranscripts runs each file of commands and compares the output with its
// golden file.
func TestTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.commands")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".commands")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			golden.Assert(t, newHarness(t).runTranscript(string(text)), name+".golden")
		})
	}
}

// shellLines returns the lines of the sh code blocks of a page.
func shellLines(t *testing.T, path string) []string {
	t.Helper()
	page, err := os.ReadFile(path)
	assert.NilError(t, err)
	var lines []string
	fence := ""
	for line := range strings.SplitSeq(string(page), "\n") {
		if tag, ok := strings.CutPrefix(line, "```"); ok {
			assert.Assert(t, fence == "" || tag == "", "%s: a block begins within another: %s", path, line)
			assert.Assert(t, tag == "" || filepath.Base(path) == "README.md" || slices.Contains(testedFences, tag), "%s: code blocks of kind %q are not tested", path, tag)
			fence = tag
			continue
		}
		if fence == "sh" && line != "" {
			lines = append(lines, line)
		}
	}
	return lines
}

// testedFences are the kinds of code blocks allowed on the pages: "sh" is run here,
// the others are tested with the daemon.
var testedFences = []string{"sh", "sh daemon", "json settings", "promql"}

// runPageLine runs a line of a page: an export, or a command with an optional
// printf as its input and the expected exit code in a comment.
func (h *harness) runPageLine(line string) {
	h.t.Helper()
	if assignment, ok := strings.CutPrefix(line, "export "); ok {
		name, value, ok := strings.Cut(assignment, "=")
		assert.Assert(h.t, ok, line)
		h.env[name] = value
		return
	}
	command, comment, _ := strings.Cut(line, " # exit ")
	want, _ := strconv.Atoi(comment)
	input := ""
	if before, after, ok := strings.Cut(command, " | "); ok {
		input, command = strings.TrimPrefix(before, "printf "), after
	}
	code, output := h.run("ana", command, input)
	assert.Equal(h.t, code, ExitCode(want), "%s\n%s", line, output)
}

// TestDocumentedCommandsRun guards against documented commands that no longer work:
// it runs every command line of the operator pages, with a new fleet for each page.
func TestDocumentedCommandsRun(t *testing.T) {
	t.Chdir(repositoryRoot)
	pages, err := filepath.Glob("docs/operations/*.md")
	assert.NilError(t, err)
	readmes, err := filepath.Glob("README.md")
	assert.NilError(t, err)
	assert.Assert(t, len(pages) >= 12, "only %d pages found", len(pages))
	ran := map[string]int{}
	for _, path := range append(pages, readmes...) {
		h := newHarness(t)
		h.mustRun("ana", "cardamomctl config apply examples/tierra-alta/fleet.json")
		for _, line := range shellLines(t, path) {
			if path == "README.md" && !strings.HasPrefix(line, "cardamomctl ") {
				continue
			}
			h.runPageLine(line)
			ran[filepath.Base(path)]++
		}
	}
	assert.Assert(t, ran["cardamomctl.md"] >= 30, "only %d commands found", ran["cardamomctl.md"])
	for _, page := range []string{"install.md", "profiles.md", "data-centre.md", "hosts.md", "targets.md", "weights.md", "platform-outage.md", "keys.md", "troubleshooting.md"} {
		assert.Assert(t, ran[page] > 0, "%s has no commands", page)
	}
}

// TestCompletionListsNames completes entry names and flag values.
func TestCompletionListsNames(t *testing.T) {
	h := newHarness(t)
	h.mustRun("ana", "cardamomctl config apply "+repositoryRoot+"/examples/tierra-alta/fleet.json")
	cases := []struct{ line, want string }{
		{"cardamomctl __complete data-centre out ''", "antigua\nchimaltenango\nescuintla\n"},
		{"cardamomctl __complete service get ''", "assistant\norder-application\n"},
		{"cardamomctl __complete status --output ''", "table\njson\n"},
	}
	for _, c := range cases {
		code, output := h.run("ana", c.line, "")
		assert.Equal(t, code, ExitOK)
		assert.Assert(t, strings.HasPrefix(output, c.want), output)
	}
}

// TestReportedOutcomesMatchHistory guards against wrong results of writes whose
// response was lost: it runs concurrent edits of two operators under random faults.
// The history must contain each edit that was reported as accepted and none that
// was reported as lost.
func TestReportedOutcomesMatchHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		code, _ := h.run("ana", "cardamomctl config apply -", `{"models": {"m": {"version": "first"}}}`)
		assert.Equal(rt, code, ExitOK)
		codes := map[string]ExitCode{}
		command := func(author string, n int) {
			version := fmt.Sprintf("%s-%d", author, n)
			codes[version], _ = h.run(author, "cardamomctl weights set m "+version+" -m "+version, "")
		}
		for n := range rapid.IntRange(1, 6).Draw(rt, "edits") {
			h.store.faults = drawFaults(rt, func(i int) { command("rival", 100*n+i) })
			command("ana", n)
			h.store.faults = nil
		}
		written := writtenMessages(t, h)
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

// drawFaults draws faults for the next writes. The writes of the rival use up faults
// from the same list.
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

// writtenMessages returns the messages of all written changes.
func writtenMessages(t testing.TB, h *harness) map[string]bool {
	a := &applier{store: h.store, clock: h.clock, attempts: 1, pause: 1}
	current, err := a.readConfig(context.Background())
	assert.NilError(t, err)
	records, err := a.listRecords(context.Background())
	assert.NilError(t, err)
	result := map[string]bool{current.Change.Message: true}
	for _, r := range records {
		result[r.Change.Message] = true
	}
	return result
}

// TestEditKeepsOtherEntries checks that changing one entry leaves the others
// unchanged.
func TestEditKeepsOtherEntries(t *testing.T) {
	h := newHarness(t)
	h.mustRun("ana", "cardamomctl config apply "+repositoryRoot+"/examples/tierra-alta/fleet.json")
	before := h.store.fleet(t)
	h.mustRun("ana", "cardamomctl data-centre out antigua")
	after := h.store.fleet(t)
	assert.DeepEqual(t, specifier.Diff(before, after), []specifier.Difference{
		{Key: "data-centres.antigua.state", Before: `"in"`, After: `"out"`},
	})
	assert.Equal(t, after.DataCentres[identifier.DataCentre("antigua")].State, specifier.StateOut)
}
