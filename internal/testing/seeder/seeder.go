// Package seeder fixes the seed of property-based tests that import it, so that
// they give the same verdict every time. The flags -rapid.seed and
// -rapid.checks still override it for longer runs.
package seeder

import (
	"flag"

	// The properties' library defines the flags that are set here.
	_ "pgregory.net/rapid"
)

// settings are the values of rapid's flags when the command line gives none.
var settings = map[string]string{
	"rapid.seed":       "20261203",
	"rapid.checks":     "300",
	"rapid.nofailfile": "true",
	"rapid.shrinktime": "10s",
}

func init() {
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
