package commander

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// example matches a shell command on a page, followed by its output.
var example = regexp.MustCompile("(?s)```sh\n(.*?)\n```\n\n```text\n(.*?)\n```")

// TestOperationsPage guards against examples on the operators' page that no longer
// work: it runs their commands on the logs in testdata and compares the output.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	examples := example.FindAllStringSubmatch(string(page), -1)
	assert.Equal(t, len(examples), 8)
	for _, ex := range examples {
		cmd := exec.Command("bash", "-c", ex[1])
		cmd.Dir = "testdata"
		out, err := cmd.Output()
		assert.NilError(t, err, ex[1])
		assert.Equal(t, strings.TrimRight(string(out), "\n"), ex[2], ex[1])
	}
}
