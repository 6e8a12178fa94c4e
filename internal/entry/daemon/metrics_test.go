package daemon

import (
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/starter"
)

// description is a metric with its labels.
var description = regexp.MustCompile(`fqName: "([^"]*)", help: "([^"]*)", unit: "[^"]*", constLabels: \{[^}]*\}, variableLabels: \{([^}]*)\}`)

// row is one line of the table of metrics.
var row = regexp.MustCompile("^\\| `(cardamomscale_[a-z_]+)` \\| ([a-z]+) \\| ([^|]*) \\| ([^|]*) \\|$")

// TestMetricsPage compares the page of metrics with what a daemon registers.
func TestMetricsPage(t *testing.T) {
	settings := starter.DefaultSettings()
	settings.Host, settings.DataCentre = "entry-01", "antigua"
	settings.Platform.Objects = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	settings.Secrets.BlockSecret = "0123456789abcdef"
	d, err := New(Config{Settings: settings, Listen: func(netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }})
	assert.NilError(t, err)
	registered := describeAll(d.parts.Registry)
	d.Abort()
	assert.NilError(t, d.Run(t.Context()))
	page, err := os.ReadFile("../../../docs/operations/metrics.md")
	assert.NilError(t, err)
	var documented []string
	for line := range strings.SplitSeq(string(page), "\n") {
		if m := row.FindStringSubmatch(line); m != nil {
			labels := strings.NewReplacer("`", "", ", ", ",", "-", "").Replace(m[3])
			documented = append(documented, m[1]+"{"+labels+"} "+m[4])
		}
	}
	slices.Sort(documented)
	assert.Assert(t, len(registered) > 0)
	assert.DeepEqual(t, documented, registered)
}

// describeAll lists the metrics of this module with labels and help, in order.
func describeAll(registry *prometheus.Registry) []string {
	ch := make(chan *prometheus.Desc)
	go func() {
		defer close(ch)
		registry.Describe(ch)
	}()
	var list []string
	for desc := range ch {
		m := description.FindStringSubmatch(desc.String())
		if m != nil && strings.HasPrefix(m[1], "cardamomscale_") {
			list = append(list, m[1]+"{"+m[3]+"} "+m[2])
		}
	}
	slices.Sort(list)
	return list
}

// TestPagesNameOnlyRegisteredMetrics looks for metrics that the pages invent.
func TestPagesNameOnlyRegisteredMetrics(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operations/metrics.md")
	assert.NilError(t, err)
	known := map[string]bool{}
	for line := range strings.SplitSeq(string(page), "\n") {
		if m := row.FindStringSubmatch(line); m != nil {
			known[m[1]] = true
		}
	}
	pages, err := filepath.Glob("../../../docs/operations/*.md")
	assert.NilError(t, err)
	for _, path := range pages {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, name := range regexp.MustCompile(`cardamomscale_[a-z_]+`).FindAllString(string(text), -1) {
			assert.Assert(t, known[strings.TrimSuffix(name, "_bucket")], "%s names %s", path, name)
		}
	}
}
