// Package seeder fixes the seed of the property-based tests in packages that
// import it, so that their results are reproducible. The flags -rapid.seed and
// -rapid.checks override the defaults for longer runs.
package seeder

import (
	"flag"

	// rapid registers the flags that are set here.
	_ "pgregory.net/rapid"
)

// defaultFlags holds the values of rapid's flags that apply unless the command
// line sets them.
var defaultFlags = map[string]string{
	"rapid.seed":       "20261203",
	"rapid.checks":     "300",
	"rapid.nofailfile": "true",
	"rapid.shrinktime": "10s",
}

func init() {
	for name, value := range defaultFlags {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
