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

// boundedReader counts the bytes that the decoder reads and fails when a message
// exceeds limit bytes. It implements io.ByteReader, so that the decoder doesn't
// wrap it in a buffer and read beyond the message.
//
// It follows the framing of gob, whose decoder allocates up to 10 MiB for a message as soon as it
// has read its length: a byte up to 0x7f is the length of the rest, any other the negated number of
// bytes of the length that follow.
type boundedReader struct {
	r        *bufio.Reader
	limit    uint64
	consumed uint64
	// left is the number of bytes left in the current part of a message.
	left uint64
	// lengthLeft is the number of bytes left in the length of the next part, and length what was
	// read of it.
	lengthLeft int
	length     uint64
}

// Read reads into p, up to the limit.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.consumed >= b.limit {
		return 0, errTooLarge
	}
	p = p[:min(uint64(len(p)), b.limit-b.consumed)]
	n, err := b.r.Read(p)
	if followErr := b.follow(p[:n]); followErr != nil {
		return 0, followErr
	}
	return n, err
}

// ReadByte reads one byte, up to the limit.
func (b *boundedReader) ReadByte() (byte, error) {
	if b.consumed >= b.limit {
		return 0, errTooLarge
	}
	c, err := b.r.ReadByte()
	if err == nil {
		err = b.follow([]byte{c})
	}
	return c, err
}

// follow counts bytes that were read, and fails on a length beyond the limit.
func (b *boundedReader) follow(p []byte) error {
	b.consumed += uint64(len(p))
	for len(p) > 0 {
		if b.left > 0 {
			n := min(b.left, uint64(len(p)))
			b.left -= n
			p = p[n:]
			continue
		}
		c := p[0]
		p = p[1:]
		switch {
		case b.lengthLeft > 0:
			b.lengthLeft--
			b.length = b.length<<8 | uint64(c)
		case c <= 0x7f:
			b.length = uint64(c)
		default:
			b.lengthLeft, b.length = -int(int8(c)), 0
		}
		if b.lengthLeft > 0 {
			continue
		}
		if b.length > b.limit {
			return errTooLarge
		}
		b.left = b.length
	}
	return nil
}

// reset starts counting a new message.
func (b *boundedReader) reset() { b.consumed = 0 }

// countingWriter counts the bytes passed to a buffered writer.
type countingWriter struct {
	w       *bufio.Writer
	written uint64
}

// Write writes p and counts the bytes.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.written += uint64(n)
	return n, err
}

// tlsConn closes a TLS connection without sending close_notify, which would
// block on a dead connection.
type tlsConn struct {
	net.Conn
	raw net.Conn
}

// Close closes the underlying connection.
func (c *tlsConn) Close() error { return c.raw.Close() }

// codec is the common part of the client and server codecs: gob with byte
// counts, a size limit and a callback for each received message.
type codec struct {
	conn     io.Closer
	reader   *boundedReader
	writer   *countingWriter
	dec      *gob.Decoder
	enc      *gob.Encoder
	counters *counters
	// onMessage is called after each received message.
	onMessage func()
	// method is the net/rpc name of the method of the current inbound message.
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

// readBody reads a body. An error closes the connection, since the start of the
// next message is unknown.
func (c *codec) readBody(body any) error {
	err := c.dec.Decode(body)
	c.counters.received(c.method, c.reader.consumed)
	c.onMessage()
	if err != nil {
		return errors.CombineErrors(err, c.conn.Close())
	}
	return nil
}

// write sends a header with its body. An error closes the connection, since the
// peer could not find the start of the next message.
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

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*codec
	// ended is set when nothing more can be read.
	ended *atomic.Bool
}

var _ rpc.ClientCodec = (*clientCodec)(nil)

// WriteRequest sends a request.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.ServiceMethod, r, body)
}

// ReadResponseHeader reads the header of the next response.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	c.method = r.ServiceMethod
	if err != nil {
		c.ended.Store(true)
	}
	return err
}

// ReadResponseBody reads the body of the response.
func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// serverCodec implements rpc.ServerCodec.
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

// WriteResponse sends a response.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(r.ServiceMethod, r, body)
}
