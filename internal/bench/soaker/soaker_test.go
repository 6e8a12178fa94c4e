package soaker

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// faultDuration is the duration of the phase with faults for each seed.
const faultDuration = 8 * time.Second

// readSeeds returns the seeds of testdata: those that have failed before, and one that
// never has.
func readSeeds(t *testing.T) []uint64 {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", "seeds.txt"))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, f.Close()) }()
	var list []uint64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if number, _, ok := strings.Cut(lines.Text(), "|"); ok && !strings.HasPrefix(number, "#") {
			seed, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
			assert.NilError(t, err)
			list = append(list, seed)
		}
	}
	return list
}

// TestSoak runs each recorded seed with real processes, so that faults which were found
// with it don't return.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "cardamomd")
	build := exec.Command("go", "build", "-o", binary, "./cmd/cardamomd")
	build.Dir = filepath.Join("..", "..", "..")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	const parallelRuns = 3
	slots := make(chan struct{}, parallelRuns)
	for _, seed := range readSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			s, err := New(Config{
				Seed: seed, FaultDuration: faultDuration, Hosts: 4, Engines: 4, PlainTargets: 3, Callers: 8,
				Binary: binary, Dir: t.TempDir(), Logger: hclog.NewNullLogger(),
			})
			assert.NilError(t, err)
			result, err := s.Run(context.Background())
			assert.NilError(t, err)
			t.Logf("%+v", result)
			assert.Equal(t, len(result.Violations), 0, "%s", strings.Join(result.Violations, "\n"))
			assert.Assert(t, result.Answered > 0 && result.Orders > 0)
		})
	}
}

// TestNewRejectsInvalidConfig checks that the error names the invalid field.
func TestNewRejectsInvalidConfig(t *testing.T) {
	_, err := New(Config{Binary: "x", Dir: "y", Logger: hclog.NewNullLogger(), Hosts: maxHosts + 1, Engines: 2, PlainTargets: 2, Callers: 1})
	assert.ErrorContains(t, err, "hosts")
	_, err = New(Config{})
	assert.ErrorContains(t, err, "binary")
}
