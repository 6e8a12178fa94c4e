package hasher

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

func TestTableFindsTeamOfKey(t *testing.T) {
	table, err := New(Config{Teams: map[identifier.Team]specifier.Team{
		"coffee": {KeyHashes: []string{HashKey("old"), HashKey("new")}},
		"honey":  {KeyHashes: []string{HashKey("other")}},
	}})
	assert.NilError(t, err)
	cases := []struct {
		key  string
		want identifier.Team
	}{{"old", "coffee"}, {"new", "coffee"}, {"other", "honey"}, {"neither", ""}, {"", ""}, {HashKey("old"), ""}}
	for _, c := range cases {
		team, ok := table.Team(c.key)
		assert.Equal(t, team, c.want)
		assert.Equal(t, ok, c.want != "")
	}
}

func TestNewRejectsMalformedHashes(t *testing.T) {
	for _, hash := range []string{"", "abcd", HashKey("x")[1:] + "g"} {
		_, err := New(Config{Teams: map[identifier.Team]specifier.Team{"coffee": {KeyHashes: []string{hash}}}})
		var hashErr *Error
		assert.Assert(t, errors.As(err, &hashErr))
		assert.Equal(t, hashErr.Kind, KindInvalid)
	}
}
