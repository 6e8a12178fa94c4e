package specifier

import (
	"maps"
	"math"
	"net/netip"
	"regexp"
	"slices"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
)

// namePattern matches valid names of entries.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// ValidName reports whether name is a valid name of an entry: 1 to 63 letters,
// digits, dots, hyphens and underscores, beginning with a letter or digit.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// validator collects the problems of a Fleet.
type validator struct {
	decoder.Reporter
	fleet *Fleet
	// addresses maps each address to the key that uses it, to detect duplicates.
	addresses map[netip.AddrPort]string
	// hashes maps each key hash to the key that uses it, to detect duplicates.
	hashes map[string]string
	// incomplete holds the kinds of entries, in the plural, that weren't all decoded. References to them aren't checked.
	incomplete map[string]bool
	// names holds the names of entries for messages, by the kind of entry in the plural.
	names map[string]string
}

// checkEntries checks the name of each entry and calls check for it, in the
// order of the names.
func checkEntries[N ~string, E any](v *validator, key string, entries map[N]E, check func(key string, e E)) {
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		entryKey := decoder.JoinKey(key, string(name))
		if !ValidName(string(name)) {
			v.Reportf(entryKey, "has a bad name, want 1 to 63 letters, digits, dots, hyphens and underscores that begin with a letter or digit")
		}
		check(entryKey, entries[name])
	}
}

// checkReference reports a name that is not in entries.
func checkReference[N ~string, E any](v *validator, key string, name N, entries map[N]E, plural string) {
	if _, ok := entries[name]; ok || v.incomplete[plural] {
		return
	}
	names, ok := v.names[plural]
	if !ok {
		names = decoder.JoinValues(slices.Sorted(maps.Keys(entries)))
		v.names[plural] = names
	}
	v.Reportf(key, "names %q, which does not exist, want one of the %s: %s", name, plural, names)
}

// checkDuration reports a value outside low and high.
func (v *validator) checkDuration(key string, value, low, high Duration) {
	decoder.CheckRange(&v.Reporter, key, value.Duration, low.Duration, high.Duration)
}

// checkNonNegative reports a value that is negative or not finite.
func (v *validator) checkNonNegative(key string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		v.Reportf(key, "is %v, want a number from 0", value)
	}
}

// checkDistinct reports empty and repeated values in a list.
func checkDistinct[T ~string](v *validator, key string, values []T) {
	seen := make(map[T]bool, len(values))
	for i, value := range values {
		if value == "" {
			v.Reportf(decoder.IndexKey(key, i), "is empty")
		}
		if seen[value] {
			v.Reportf(decoder.IndexKey(key, i), "repeats %q", value)
		}
		seen[value] = true
	}
}

// checkAddress reports an address that is unusable or already in use.
func (v *validator) checkAddress(key string, value netip.AddrPort) {
	if !value.IsValid() || value.Port() == 0 || value.Addr().IsUnspecified() {
		v.Reportf(key, "is %q, want an IP address and port such as 127.0.0.1:21100", value)
		return
	}
	value = netip.AddrPortFrom(value.Addr().Unmap(), value.Port())
	if other, ok := v.addresses[value]; ok {
		v.Reportf(key, "is %q, which %s uses already", value, other)
		return
	}
	v.addresses[value] = key
}
