package instance

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// copySignature starts the binary format; flags and the length of the header
// extension, both 0, follow it.
const copySignature = "PGCOPY\n\xff\r\n\x00"

// copyHeaderSize is the length of the signature, flags and extension length.
const copyHeaderSize = len(copySignature) + 8

// copy starts a COPY. The connection transfers the data by copyIn or copyOut.
func (s *session) copy(stmt *copyStatement, sc *scope) (*result, error) {
	r := &result{copyStmt: stmt, tag: tagWithCount("COPY")}
	if stmt.in {
		return r, s.checkWritable("COPY FROM")
	}
	next, err := s.selectRows(stmt.query, sc)
	r.next = next
	return r, err
}

// width returns the number of columns copied.
func (c *copyStatement) width() int {
	if c.query == nil {
		return len(c.columns)
	}
	n := 0
	for _, t := range c.query.targets {
		n++
		if t.star && c.query.source.kind == sourceTable {
			n++
		}
	}
	return n
}

// formats returns the format codes of the columns.
func (c *copyStatement) formats() (overall byte, columns []uint16) {
	columns = make([]uint16, c.width())
	if c.format == copyBinary {
		overall = formatBinary
		for i := range columns {
			columns[i] = formatBinary
		}
	}
	return overall, columns
}

// encodeRow returns a row in the format of the statement.
func (c *copyStatement) encodeRow(row []value) ([]byte, error) {
	if c.format == copyText {
		return encodeTextRow(row), nil
	}
	data := binary.BigEndian.AppendUint16(nil, uint16(len(row)))
	for _, v := range row {
		if v.null {
			data = binary.BigEndian.AppendUint32(data, 0xffffffff)
			continue
		}
		field, err := v.encode(formatBinary)
		if err != nil {
			return nil, err
		}
		data = binary.BigEndian.AppendUint32(data, uint32(len(field)))
		data = append(data, field...)
	}
	return data, nil
}

// copyEscapes maps characters to their escapes in the text format.
var copyEscapes = map[byte]byte{'\\': '\\', '\t': 't', '\n': 'n', '\r': 'r'}

func encodeTextRow(row []value) []byte {
	var data []byte
	for i, v := range row {
		if i > 0 {
			data = append(data, '\t')
		}
		if v.null {
			data = append(data, `\N`...)
			continue
		}
		for _, c := range []byte(v.text) {
			if escape, ok := copyEscapes[c]; ok {
				data = append(data, '\\', escape)
				continue
			}
			data = append(data, c)
		}
	}
	return append(data, '\n')
}

// header returns the bytes before the rows of COPY ... TO, nil if there are none.
func (c *copyStatement) header() []byte {
	if c.format == copyText {
		return nil
	}
	return append([]byte(copySignature), make([]byte, 8)...)
}

// trailer returns the bytes after the rows of COPY ... TO, nil if there are none.
func (c *copyStatement) trailer() []byte {
	if c.format == copyText {
		return nil
	}
	return []byte{0xff, 0xff}
}

// copyReader splits the data of COPY ... FROM into rows.
type copyReader struct {
	format  copyFormat
	columns int
	data    []byte
	started bool
	ended   bool
}

// next returns the fields of the next complete row, nil if there is none yet.
func (r *copyReader) next() ([][]byte, error) {
	switch {
	case r.ended:
		return nil, nil
	case r.format == copyText:
		return r.nextText()
	}
	if !r.started {
		if len(r.data) < copyHeaderSize {
			return nil, nil
		}
		if !bytes.HasPrefix(r.data, []byte(copySignature)) {
			return nil, errorf(stateInvalidCopy, "COPY file signature not recognized")
		}
		r.data = r.data[copyHeaderSize:]
		r.started = true
	}
	return r.nextBinary()
}

func (r *copyReader) nextBinary() ([][]byte, error) {
	if len(r.data) < 2 {
		return nil, nil
	}
	n := int(int16(binary.BigEndian.Uint16(r.data)))
	if n == -1 {
		r.ended = true
		return nil, nil
	}
	if n != r.columns {
		return nil, errorf(stateInvalidCopy, "row has %d fields, expected %d", n, r.columns)
	}
	rest := r.data[2:]
	fields := make([][]byte, n)
	for i := range fields {
		if len(rest) < 4 {
			return nil, nil
		}
		size := int(int32(binary.BigEndian.Uint32(rest)))
		rest = rest[4:]
		if size < 0 {
			continue
		}
		if len(rest) < size {
			return nil, nil
		}
		fields[i] = append([]byte{}, rest[:size]...)
		rest = rest[size:]
	}
	r.data = rest
	return fields, nil
}

func (r *copyReader) nextText() ([][]byte, error) {
	end := bytes.IndexByte(r.data, '\n')
	if end < 0 {
		return nil, nil
	}
	line := bytes.TrimSuffix(r.data[:end], []byte{'\r'})
	r.data = r.data[end+1:]
	if string(line) == `\.` {
		r.ended = true
		return nil, nil
	}
	fields := bytes.Split(line, []byte{'\t'})
	if len(fields) != r.columns {
		return nil, errorf(stateInvalidCopy, "row has %d fields, expected %d", len(fields), r.columns)
	}
	for i, f := range fields {
		fields[i] = unescape(f)
	}
	return fields, nil
}

// finish ends a last line that has no newline.
func (r *copyReader) finish() {
	if r.format == copyText && len(r.data) > 0 {
		r.data = append(r.data, '\n')
	}
}

// unescape returns the value of a field in the text format, nil for null.
func unescape(field []byte) []byte {
	if string(field) == `\N` {
		return nil
	}
	out := make([]byte, 0, len(field))
	for i := 0; i < len(field); i++ {
		c := field[i]
		if c == '\\' && i+1 < len(field) {
			i++
			c = field[i]
			for plain, escape := range copyEscapes {
				if c == escape {
					c = plain
					break
				}
			}
		}
		out = append(out, c)
	}
	return out
}

// copyIn inserts the rows that the client sends and returns their number.
func (c *connection) copyIn(stmt *copyStatement) (int, error) {
	overall, formats := stmt.formats()
	c.backend.Send(&pgproto3.CopyInResponse{OverallFormat: overall, ColumnFormatCodes: formats})
	if err := c.flush(); err != nil {
		return 0, err
	}
	reader := &copyReader{format: stmt.format, columns: len(stmt.columns)}
	rows := 0
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			return rows, fmt.Errorf("receive copy data: %w", err)
		}
		complete := false
		switch msg := msg.(type) {
		case *pgproto3.CopyData:
			reader.data = append(reader.data, msg.Data...)
		case *pgproto3.CopyDone:
			reader.finish()
			complete = true
		case *pgproto3.CopyFail:
			return rows, errorf(proxy.QueryCanceled, "COPY from stdin failed: %s", msg.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
			continue
		default:
			return rows, errorf(proxy.ProtocolViolation, "unexpected message %T during COPY from stdin", msg)
		}
		n, err := c.session.copyRows(stmt, reader)
		rows += n
		if err != nil || complete {
			return rows, err
		}
	}
}

// copyRows inserts the complete rows of reader and returns their number.
func (s *session) copyRows(stmt *copyStatement, reader *copyReader) (int, error) {
	insert := &insertStatement{columns: stmt.columns}
	for rows := 0; ; rows++ {
		fields, err := reader.next()
		if fields == nil || err != nil {
			return rows, err
		}
		expressions := make([]expression, len(fields))
		for i, f := range fields {
			v, err := decode(f, pgtype.TextOID, formatText)
			if err != nil {
				return rows, err
			}
			expressions[i] = literal{v}
		}
		sc := &scope{session: s}
		row, err := sc.newRow(insert.columns, expressions)
		if err != nil {
			return rows, err
		}
		if err := s.insertRow(insert, sc, row, &modifiedRows{}); err != nil {
			return rows, err
		}
	}
}

// copyOut sends the rows of COPY ... TO and returns their number.
func (c *connection) copyOut(r *result) (int, error) {
	overall, formats := r.copyStmt.formats()
	c.backend.Send(&pgproto3.CopyOutResponse{OverallFormat: overall, ColumnFormatCodes: formats})
	if header := r.copyStmt.header(); header != nil {
		c.backend.Send(&pgproto3.CopyData{Data: header})
	}
	rows := 0
	for ; ; rows++ {
		row, err := r.next()
		if err != nil {
			return rows, err
		}
		if row == nil {
			break
		}
		data, err := r.copyStmt.encodeRow(row)
		if err != nil {
			return rows, err
		}
		c.backend.Send(&pgproto3.CopyData{Data: data})
		if err := c.sendIfLarge(len(data)); err != nil {
			return rows, err
		}
	}
	if trailer := r.copyStmt.trailer(); trailer != nil {
		c.backend.Send(&pgproto3.CopyData{Data: trailer})
	}
	c.backend.Send(&pgproto3.CopyDone{})
	return rows, nil
}
