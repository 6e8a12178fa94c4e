package exchanger

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

var errTooLarge = errors.New("message exceeds the size limit")

// boundedReader counts what the decoder takes and fails once a message takes
// more than limit bytes. It implements io.ByteReader, so that the decoder
// reads nothing beyond the message.
type boundedReader struct {
	r     *bufio.Reader
	limit uint64
	taken uint64
}

// Read reads into p.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.taken >= b.limit {
		return 0, errTooLarge
	}
	p = p[:min(uint64(len(p)), b.limit-b.taken)]
	n, err := b.r.Read(p)
	b.taken += uint64(n)
	return n, err
}

// ReadByte reads one byte.
func (b *boundedReader) ReadByte() (byte, error) {
	if b.taken >= b.limit {
		return 0, errTooLarge
	}
	c, err := b.r.ReadByte()
	if err == nil {
		b.taken++
	}
	return c, err
}

// reset begins a new message.
func (b *boundedReader) reset() { b.taken = 0 }

// countingWriter counts what passes on to a buffered writer.
type countingWriter struct {
	w       *bufio.Writer
	written uint64
}

// Write writes and counts.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.written += uint64(n)
	return n, err
}

// securedConn closes an encrypted connection without the farewell, which
// would block on a silent connection.
type securedConn struct {
	net.Conn
	raw net.Conn
}

// Close closes the connection below the encryption.
func (c *securedConn) Close() error { return c.raw.Close() }

// codec holds what client and server codecs share: gob with byte counts, a
// size limit and a call for each message that arrived.
type codec struct {
	conn     io.Closer
	reader   *boundedReader
	writer   *countingWriter
	dec      *gob.Decoder
	enc      *gob.Encoder
	counters *counters
	// onMessage is called after each message.
	onMessage func()
	// method is the method of the message that is being read.
	method string
}

func newCodec(conn io.ReadWriteCloser, limit uint64, counters *counters, onMessage func()) *codec {
	reader := &boundedReader{r: bufio.NewReader(conn), limit: limit}
	writer := &countingWriter{w: bufio.NewWriter(conn)}
	return &codec{
		conn:      conn,
		reader:    reader,
		writer:    writer,
		dec:       gob.NewDecoder(reader),
		enc:       gob.NewEncoder(writer),
		counters:  counters,
		onMessage: onMessage,
	}
}

func (c *codec) readHeader(header any) error {
	c.reader.reset()
	return c.dec.Decode(header)
}

// readBody reads a body. A failure closes the connection, since the next
// message could not be found.
func (c *codec) readBody(body any) error {
	err := c.dec.Decode(body)
	c.counters.received(c.method, c.reader.taken)
	c.onMessage()
	if err != nil {
		return errors.CombineErrors(err, c.conn.Close())
	}
	return nil
}

// write sends a header with its body. A failure closes the connection, since
// the peer could not find the next message.
func (c *codec) write(method string, header, body any) error {
	before := c.writer.written
	err := c.enc.Encode(header)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.writer.w.Flush()
	}
	c.counters.sent(method, c.writer.written-before)
	if err != nil {
		return errors.CombineErrors(err, c.conn.Close())
	}
	return nil
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

// clientCodec is the calling side of a connection.
type clientCodec struct {
	*codec
	// ended is set once nothing more can be read.
	ended *atomic.Bool
}

var _ rpc.ClientCodec = (*clientCodec)(nil)

// WriteRequest sends a request.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.ServiceMethod, r, body)
}

// ReadResponseHeader reads the header of the next answer.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	c.method = r.ServiceMethod
	if err != nil {
		c.ended.Store(true)
	}
	return err
}

// ReadResponseBody reads the body of the answer.
func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// serverCodec is the answering side of a connection.
type serverCodec struct{ *codec }

var _ rpc.ServerCodec = (*serverCodec)(nil)

// ReadRequestHeader reads the header of the next request.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.readHeader(r)
	c.method = r.ServiceMethod
	return err
}

// ReadRequestBody reads the body of the request.
func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse sends an answer.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(r.ServiceMethod, r, body)
}
