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

// descPattern matches the text form of a prometheus.Desc.
var descPattern = regexp.MustCompile(`fqName: "([^"]*)", help: "([^"]*)", unit: "[^"]*", constLabels: \{[^}]*\}, variableLabels: \{([^}]*)\}`)

// metricsTableRow matches a row of the documentation's table of metrics.
var metricsTableRow = regexp.MustCompile("^\\| `(cardamomscale_[a-z_]+)` \\| ([a-z]+) \\| ([^|]*) \\| ([^|]*) \\|$")

// TestMetricsPage checks that the documented metrics are those that a daemon registers.
func TestMetricsPage(t *testing.T) {
	settings := starter.DefaultSettings()
	settings.Host, settings.DataCentre = "entry-01", "antigua"
	settings.Platform.Objects = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	settings.Secrets.BlockSecret = "0123456789abcdef"
	d, err := New(Config{Settings: settings, Listen: func(netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }})
	assert.NilError(t, err)
	registered := describeRegistered(d.components.Registry)
	d.Abort()
	assert.NilError(t, d.Run(t.Context()))
	page, err := os.ReadFile("../../../docs/operations/metrics.md")
	assert.NilError(t, err)
	var documented []string
	for line := range strings.SplitSeq(string(page), "\n") {
		if m := metricsTableRow.FindStringSubmatch(line); m != nil {
			labels := strings.NewReplacer("`", "", ", ", ",", "-", "").Replace(m[3])
			documented = append(documented, m[1]+"{"+labels+"} "+m[4])
		}
	}
	slices.Sort(documented)
	assert.Assert(t, len(registered) > 0)
	assert.DeepEqual(t, documented, registered)
}

// describeRegistered returns the sorted metrics of this module with labels and help.
func describeRegistered(registry *prometheus.Registry) []string {
	ch := make(chan *prometheus.Desc)
	go func() {
		defer close(ch)
		registry.Describe(ch)
	}()
	var list []string
	for desc := range ch {
		m := descPattern.FindStringSubmatch(desc.String())
		if m != nil && strings.HasPrefix(m[1], "cardamomscale_") {
			list = append(list, m[1]+"{"+m[3]+"} "+m[2])
		}
	}
	slices.Sort(list)
	return list
}

// TestPagesNameOnlyDocumentedMetrics checks that the operators' pages use no name of
// a metric that the page of metrics lacks.
func TestPagesNameOnlyDocumentedMetrics(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operations/metrics.md")
	assert.NilError(t, err)
	documented := map[string]bool{}
	for line := range strings.SplitSeq(string(page), "\n") {
		if m := metricsTableRow.FindStringSubmatch(line); m != nil {
			documented[m[1]] = true
		}
	}
	pages, err := filepath.Glob("../../../docs/operations/*.md")
	assert.NilError(t, err)
	for _, path := range pages {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, name := range regexp.MustCompile(`cardamomscale_[a-z_]+`).FindAllString(string(text), -1) {
			assert.Assert(t, documented[strings.TrimSuffix(name, "_bucket")], "%s names %s", path, name)
		}
	}
}
