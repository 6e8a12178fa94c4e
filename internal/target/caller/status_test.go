package caller

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/decision/reducer"
)

// TestInvalidStatusIsRecorded guards against an answer of a plain service whose status is none, and which is recorded and
// delivered: the status can't be written to the caller, nor to anyone who repeats the call.
func TestInvalidStatusIsRecorded(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "00", "0", "-20", "+20", "0200", "1000", "600", "999", "101"} {
		for _, rest := range []string{"\r\n", "Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\npaid", "Transfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n0\r\n\r\n"} {
			f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				assert.Check(t, err)
				conn, _, err := http.NewResponseController(w).Hijack()
				assert.Check(t, err)
				_, err = io.WriteString(conn, "HTTP/1.1 "+status+" Odd\r\n"+rest)
				assert.Check(t, err)
				assert.Check(t, conn.Close())
			}))
			answer, ev := f.call(t)
			failed, ok := ev.(reducer.AttemptFailed)
			assert.Check(t, ok, "status %q: %d is recorded", status, answer.Status)
			assert.Check(t, !failed.ProvenNotRun, "status %q", status)
		}
	}
}
