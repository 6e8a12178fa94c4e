package commander

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// example is a command of a page and what it prints.
var example = regexp.MustCompile("(?s)```sh\n(.*?)\n```\n\n```text\n(.*?)\n```")

// TestOperationsPage runs the commands of the operators' page on the logs beside
// this test and compares what they print.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	examples := example.FindAllStringSubmatch(string(page), -1)
	assert.Equal(t, len(examples), 7)
	for _, ex := range examples {
		cmd := exec.Command("bash", "-c", ex[1])
		cmd.Dir = "testdata"
		out, err := cmd.Output()
		assert.NilError(t, err, ex[1])
		assert.Equal(t, strings.TrimRight(string(out), "\n"), ex[2], ex[1])
	}
}
