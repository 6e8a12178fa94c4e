package dialer

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// maxReportBytes limits the size of a load report, in a handshake with its headers.
const maxReportBytes = 1 << 20

// handshake reads the target's load report over conn, which stays usable.
func handshake(ctx context.Context, conn net.Conn, addr netip.AddrPort) (*messenger.LoadReport, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	r, err := http.NewRequest(http.MethodGet, "http://"+addr.String()+messenger.PathLoad, nil)
	if err != nil {
		return nil, err
	}
	if err := r.Write(conn); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(io.LimitReader(conn, maxReportBytes))
	response, err := http.ReadResponse(reader, r)
	if err != nil {
		return nil, err
	}
	report, err := decodeReport(response)
	if err != nil {
		return nil, err
	}
	if response.Close {
		return nil, errors.New("target closes the connection after its report")
	}
	if n := reader.Buffered(); n > 0 {
		return nil, errors.Newf("%d bytes follow the report", n)
	}
	return report, nil
}

// decodeReport reads the response and checks that the incarnations in header and
// body match.
func decodeReport(response *http.Response) (report *messenger.LoadReport, err error) {
	defer func() { err = errors.CombineErrors(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("load report has status %q", response.Status)
	}
	body, err := bounder.ReadAll(response.Body, maxReportBytes)
	if err != nil {
		return nil, err
	}
	report = new(messenger.LoadReport)
	if err := json.Unmarshal(body, report); err != nil {
		return nil, errors.Wrap(err, "load report")
	}
	header := response.Header.Get(messenger.HeaderIncarnation)
	if header == "" {
		return report, nil
	}
	n, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "header %s", messenger.HeaderIncarnation)
	}
	if identifier.Incarnation(n) != report.Incarnation {
		return nil, errors.Newf("header has incarnation %d, report has %d", n, report.Incarnation)
	}
	return report, nil
}
