package lister_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/standin/lister"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

func TestChangesAppearAfterLag(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s, err := lister.New(lister.Config{Clock: clock, Lag: time.Minute})
	assert.NilError(t, err)
	call := func(method, path, body string) (int, messenger.Members) {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		var members messenger.Members
		if method == http.MethodGet {
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &members))
		}
		return w.Code, members
	}
	listed := func() int {
		_, members := call(http.MethodGet, messenger.PathMembers, "")
		assert.Assert(t, members.AsOf.Equal(clock.Now().Add(-time.Minute)))
		return len(members.Members)
	}
	s.Set(messenger.Member{Name: "host-2", State: messenger.MemberLive})
	code, _ := call(http.MethodPut, messenger.PathMembers, `{"name":"host-1","address":"10.0.0.1:80"}`)
	assert.Equal(t, code, http.StatusNoContent)
	code, _ = call(http.MethodPut, messenger.PathMembers, `{}`)
	assert.Equal(t, code, http.StatusBadRequest)
	assert.Equal(t, listed(), 0)
	clock.Advance(time.Minute)
	assert.Equal(t, listed(), 2)
	assert.Equal(t, s.Members().Members[0].Name, "host-1")
	code, _ = call(http.MethodDelete, messenger.PathMembers+"/host-1", "")
	assert.Equal(t, code, http.StatusNoContent)
	assert.Equal(t, listed(), 2)
	clock.Advance(30 * time.Second)
	assert.Equal(t, listed(), 2)
	clock.Advance(30 * time.Second)
	assert.Equal(t, listed(), 1)
}
